package mothwing.control;

/** Carries out actions, at the moment of the event that led to them, in order. */
public interface ControllerHost {
  /** Runs a held request or resumes a paused one. */
  void start(String id);

  /** Lets a request at a call make it, until the given time. */
  void call(String id, long until);

  /** Leaves the call out. */
  void skipCall(String id);

  /** Stops running work, as the halting setting says. */
  void halt(String id);

  /** Ends a request unserved: nothing was done. */
  void refuse(String id, boolean dontRetry, long stayAway);

  /** Answers with a failure. */
  void fail(String id);

  /** Remembers a request's key for a span. */
  void remember(String id, long span);

  /** Forgets a request's key. */
  void forget(String id);

  /** Answers a repeat from its forerunner's result. */
  void replay(String id);

  /** Asks for a timer. */
  void timer(long at, String tag);

  /** Sets the free value. */
  void say(double value);

  /** Sets the answer to health checks. */
  void health(boolean cheap, boolean good);

  /**
   * Closes connections from now on that have been idle for a span, at most that of the settings.
   */
  void trimIdle(long span);

  /** Adds a line to the report. */
  void log(String text);
}
