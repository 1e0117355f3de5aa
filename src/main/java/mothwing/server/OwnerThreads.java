package mothwing.server;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;

/**
 * Creates threads that own state. If such a thread ends before it is stopped, nothing that it owns
 * is served any more, so its end is reported for the process to end too.
 */
final class OwnerThreads implements ThreadFactory {
  private final String name;
  private final Consumer<String> onUnexpectedEnd;
  private volatile boolean stopping;

  /**
   * Creates a factory.
   *
   * @param name the name of the threads
   * @param onUnexpectedEnd called with the cause on the thread that ends; if it fails, the process
   *     is halted at once
   */
  OwnerThreads(String name, Consumer<String> onUnexpectedEnd) {
    this.name = name;
    this.onUnexpectedEnd = onUnexpectedEnd;
  }

  /** Allows the threads to end from now on. */
  void stop() {
    stopping = true;
  }

  @Override
  public Thread newThread(Runnable task) {
    return new FastThreadLocalThread(() -> run(task), name);
  }

  private void run(Runnable task) {
    String cause = "see the runtime's message before this line";
    try {
      task.run();
    } catch (Throwable failure) { // an Error ends the thread as well
      cause = failure.toString();
    } finally {
      reportEnd(cause);
    }
  }

  private void reportEnd(String cause) {
    if (stopping) {
      return;
    }
    try {
      onUnexpectedEnd.accept(cause);
    } catch (Throwable failure) { // no memory is left, for example
      Runtime.getRuntime().halt(1);
    }
  }
}
