package mothwing.control;

/**
 * Receives the events of one server, one at a time. Every call carries the time of the event, in
 * microseconds of the server's monotonic clock, which never decreases.
 */
public interface Controller {
  /** The server has started; the first event, delivered once. */
  void serverStarted(long now);

  /** A request was read. It is held until the controller runs, rejects or fails it. */
  void requestRead(long now, Request request);

  /** The caller of a request has cancelled it or disconnected: no answer is pending any longer. */
  void requestCancelled(long now, String id);

  /** A running request has reached a dependency call, which waits for leave. */
  void callAwaited(long now, String id);

  /**
   * A dependency call has ended.
   *
   * @param now the time of the event
   * @param id the request whose run made the call
   * @param outcome how it ended
   * @param durationMicros duration of the call in microseconds, at least 0
   */
  void callEnded(long now, String id, RunOutcome outcome, long durationMicros);

  /**
   * A run, or the replay of a result, has ended.
   *
   * @param now the time of the event
   * @param id the request
   * @param outcome how it ended
   * @param durationMicros duration measured where it ran, in microseconds; 0 where it is unknown
   */
  void runEnded(long now, String id, RunOutcome outcome, long durationMicros);

  /**
   * A timer fired.
   *
   * @param now the time of the event
   * @param tag the tag with which the timer was scheduled
   * @param sample the gauges of this moment, or their absence
   */
  void timerFired(long now, String tag, GaugeSample sample);

  /**
   * The settings have changed. A class or tenant is the same as before if the one at its index had
   * the same name, and new otherwise. There are never fewer classes or tenants than before.
   */
  void settingsChanged(long now, Settings settings);

  /** A graceful shutdown begins; the process is stopped at the given time, in microseconds. */
  void shutdownRequested(long now, long stopAt);

  /** All events of this batch interval have been delivered. */
  void batchEnded(long now);
}
