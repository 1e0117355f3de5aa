package mothwing.control;

/** Carries out actions, at the moment of the event that led to them, in order. */
public interface ControllerHost {
  /** Runs a held request or resumes a paused one. */
  void startRun(String id);

  /** Lets a request at a call make it, until the given time. */
  void startCall(String id, long until);

  /** Leaves the call out. */
  void skipCall(String id);

  /** Stops running work, as the halting setting says. */
  void stopRun(String id);

  /** Ends a request unserved: nothing was done. */
  void rejectRequest(String id, boolean dontRetry, long stayAway);

  /** Answers with a failure. */
  void failRequest(String id);

  /** Remembers a request's key for a span. */
  void rememberKey(String id, long span);

  /** Forgets a request's key. */
  void forgetKey(String id);

  /** Answers a repeat from its forerunner's result. */
  void replayResult(String id);

  /** Asks for a timer. */
  void scheduleTimer(long at, String tag);

  /** Sets the free value. */
  void publishFreeValue(double value);

  /** Sets the answer to health checks. */
  void setHealth(boolean cheap, boolean good);

  /**
   * Closes connections from now on that have been idle for a span, at most that of the settings.
   */
  void closeIdleConnections(long span);

  /** Adds a line to the report. */
  void log(String text);
}
