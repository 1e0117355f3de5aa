package mothwing.control;

/**
 * Receives the events of one server, one at a time. Every method takes the time of the event, in
 * microseconds of the server's monotonic clock, which never decreases.
 */
public interface Controller {
  /** Handles the start of the server; this is the first event, and occurs once. */
  void serverStarted(long now);

  /** Handles a request that was read. It is held until the controller runs, rejects or fails it. */
  void requestRead(long now, Request request);

  /**
   * Handles a request whose caller has cancelled it or disconnected, so that no answer is needed
   * any more.
   */
  void requestCancelled(long now, String id);

  /** Handles a run that has reached a dependency call and waits for permission to make it. */
  void callAwaited(long now, String id);

  /**
   * Handles the end of a dependency call.
   *
   * @param now the time of the event
   * @param id the request whose run made the call
   * @param outcome the outcome of the call
   * @param durationMicros duration of the call in microseconds, at least 0
   */
  void callEnded(long now, String id, RunOutcome outcome, long durationMicros);

  /**
   * Handles the end of a run, or of the replay of a result.
   *
   * @param now the time of the event
   * @param id the request
   * @param outcome the outcome of the run or the replay
   * @param durationMicros duration measured where the run executed, in microseconds; 0 if unknown
   */
  void runEnded(long now, String id, RunOutcome outcome, long durationMicros);

  /**
   * Handles a timer.
   *
   * @param now the time of the event
   * @param tag the tag with which the timer was scheduled
   * @param sample the current gauges, or their absence
   */
  void timerFired(long now, String tag, GaugeSample sample);

  /**
   * Applies changed settings. A class or tenant is the same as before if the one at its index had
   * the same name, and new otherwise. There are never fewer classes or tenants than before.
   */
  void settingsChanged(long now, Settings settings);

  /**
   * Handles the start of a graceful shutdown; the process is stopped at the given time, in
   * microseconds.
   */
  void shutdownRequested(long now, long stopAt);

  /** Ends a batch: all events of this batch interval have been delivered. */
  void batchEnded(long now);
}
