package mothwing.server;

/** A process that runs in the foreground until it is drained. */
public interface Service {
  /** Begins a graceful shutdown. May be called from any thread, and more than once. */
  void drain();

  /**
   * Waits until the shutdown is complete.
   *
   * @throws InterruptedException if the wait is interrupted
   */
  void await() throws InterruptedException;

  /**
   * Returns whether the service has failed.
   *
   * @return true if the process is to exit with an error status
   */
  default boolean hasFailed() {
    return false;
  }

  /**
   * Returns the current counters.
   *
   * @return one line
   */
  String counts();
}
