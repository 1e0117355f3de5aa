package mothwing.broker;

/** Sends commands to the worker pool. Commands have no effect while {@link #isReady} is false. */
public interface WorkerPool {
  /** Whether commands can be sent to the pool. */
  boolean isReady();

  /**
   * Starts a run.
   *
   * @param exchange the request
   * @return whether the command was written to a connection, which may still be lost
   */
  boolean startRun(Exchange exchange);

  /** Stops the run of a request. */
  void stopRun(String id);

  /** Resumes a paused run. */
  void resumeRun(String id);

  /** Resumes a run that awaits a dependency call, with the result of the call. */
  default void resumeWithResult(String id, byte[] result) {
    throw new UnsupportedOperationException("this worker pool does not support dependency calls");
  }

  /** Resumes a run that awaits a dependency call, without a result. */
  default void resumeWithoutResult(String id) {
    throw new UnsupportedOperationException("this worker pool does not support dependency calls");
  }

  /** Requests the gauges; the answer carries the echo. */
  void requestGauges(String echo);

  /** Starts the work of a deep health check; its end carries the echo. */
  void startHealthCheck(String echo);
}
