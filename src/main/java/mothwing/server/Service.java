package mothwing.server;

/** A process that runs in the foreground until it is drained. */
public interface Service {
  /** Begins a graceful shutdown. May be called from any thread, and more than once. */
  void drain();

  /**
   * Waits until its shutdown is complete.
   *
   * @throws InterruptedException where the wait is interrupted
   */
  void await() throws InterruptedException;

  /**
   * Whether it has failed.
   *
   * @return true where the process is to end with an error status
   */
  default boolean hasFailed() {
    return false;
  }

  /**
   * The counters so far.
   *
   * @return one line
   */
  String counts();
}
