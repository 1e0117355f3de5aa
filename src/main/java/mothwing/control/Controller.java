package mothwing.control;

/** Receives the events of one server. Every call carries the clock. */
public interface Controller {
  /** The server has started; asked for once, before all else. */
  void serverStarted(long now);

  /** A request was read. */
  void requestRead(long now, Request request);

  /** Nobody waits for this request any longer; no answer is owed. */
  void requestCancelled(long now, String id);

  /** A running request stands at a call. */
  void callAwaited(long now, String id);

  /** A call ended. */
  void callEnded(long now, String id, RunOutcome outcome, long took);

  /** A run, or a replay, ended; it took so long where it ran, or 0 where that is not known. */
  void runEnded(long now, String id, RunOutcome outcome, long took);

  /** A timer fired, with the gauges of this moment where they are known. */
  void timerFired(long now, String tag, GaugeSample sample);

  /**
   * The settings have changed. A class or a tenant at the place of one of the same name is the
   * same; at the place of another name it is new. There are never fewer places than before.
   */
  void settingsChanged(long now, Settings settings);

  /** Notice to leave: the process is stopped at the given time. */
  void shutdownRequested(long now, long stopAt);

  /** All events of this moment have been given. */
  void batchEnded(long now);
}
