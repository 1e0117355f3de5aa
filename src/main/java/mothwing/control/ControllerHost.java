package mothwing.control;

/**
 * Carries out the actions of a controller in order, at the time of the event that caused them.
 * Times and durations are microseconds.
 */
public interface ControllerHost {
  /** Starts the run of a held request, or resumes a suspended one. */
  void startRun(String id);

  /** Starts the dependency call that a request awaits; the call is abandoned at the given time. */
  void startCall(String id, long abandonAt);

  /** Continues the run of a request without the dependency call that it awaits. */
  void skipCall(String id);

  /** Stops a run as {@link Machine#stopMode} specifies. */
  void stopRun(String id);

  /**
   * Rejects a request that has had no effect.
   *
   * @param id the request
   * @param dontRetry whether the caller should not retry at another server
   * @param retryAfter duration for which the caller should avoid this server; 0 for no advice
   */
  void rejectRequest(String id, boolean dontRetry, long retryAfter);

  /**
   * Answers a request with a failure; ends the run of a request that is answered already and awaits
   * a call.
   */
  void failRequest(String id);

  /** Remembers the idempotency key of a request for the given duration. */
  void rememberKey(String id, long duration);

  /** Forgets the idempotency key of a request. */
  void forgetKey(String id);

  /** Answers a repeated request with the result of the original. */
  void replayResult(String id);

  /** Schedules a timer for the given time. */
  void scheduleTimer(long at, String tag);

  /** Publishes the free value, with the meaning of {@link Signals#freeValue}. */
  void publishFreeValue(double value);

  /**
   * Sets the answer to health checks.
   *
   * @param shallow whether health checks are answered without the controller
   * @param healthy the answer
   */
  void setHealth(boolean shallow, boolean healthy);

  /**
   * From now on, closes connections that have been idle for the given duration, at most {@link
   * Signals#idleTimeout}.
   */
  void closeIdleConnections(long idleTimeout);

  /** Writes a line to the server's log. */
  void log(String text);
}
