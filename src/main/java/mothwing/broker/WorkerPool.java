package mothwing.broker;

/** What the broker asks of the worker pool. Calls do nothing while {@link #isReady} is false. */
public interface WorkerPool {
  /** Whether commands reach the pool now. */
  boolean isReady();

  /** Runs a request. Says whether the command was put on a link; that link may still break. */
  boolean startRun(Exchange exchange);

  /** Stops a run. */
  void stopRun(String id);

  /** Goes on with a paused run. */
  void resumeRun(String id);

  /** Lets a run that stands at a call go on with its result. */
  default void resumeWithResult(String id, byte[] result) {
    throw new UnsupportedOperationException("runs here make no calls");
  }

  /** Lets a run that stands at a call go on without it. */
  default void resumeWithoutResult(String id) {
    throw new UnsupportedOperationException("runs here make no calls");
  }

  /** Asks for the gauges. */
  void requestGauges(String echo);

  /** Does the work of a deep health check. */
  void startHealthCheck(String echo);
}
