package mothwing.broker;

/** What the broker asks of the worker pool. Calls do nothing while {@link #ready} is false. */
public interface WorkerPool {
  /** Whether commands reach the pool now. */
  boolean ready();

  /** Runs a request. Says whether the command was put on a link; that link may still break. */
  boolean spawn(Exchange exchange);

  /** Stops a run. */
  void suspend(String id);

  /** Goes on with a paused run. */
  void proceed(String id);

  /** Lets a run that stands at a call go on with its result. */
  default void supply(String id, byte[] result) {
    throw new UnsupportedOperationException("runs here make no calls");
  }

  /** Lets a run that stands at a call go on without it. */
  default void pass(String id) {
    throw new UnsupportedOperationException("runs here make no calls");
  }

  /** Asks for the gauges. */
  void poll(String echo);

  /** Does the work of a deep health check. */
  void verify(String echo);
}
