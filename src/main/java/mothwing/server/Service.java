package mothwing.server;

/** What runs in the foreground until it is told to leave. */
public interface Service {
  /** The notice to leave: may come from any thread, and more than once. */
  void drain();

  /**
   * Waits until it has left after a notice.
   *
   * @throws InterruptedException where the wait is broken off
   */
  void await() throws InterruptedException;

  /**
   * Whether it could not do what it was started for.
   *
   * @return true where the process is to end with a status that says so
   */
  default boolean failed() {
    return false;
  }

  /**
   * The counts so far.
   *
   * @return one line
   */
  String counts();
}
