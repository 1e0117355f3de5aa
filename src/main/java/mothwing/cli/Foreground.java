package mothwing.cli;

import mothwing.server.AsyncLogWriter;
import mothwing.server.Service;

/** Keeps a service in the foreground until it is told to leave. */
final class Foreground {
  private Foreground() {}

  /** Takes the signal to end as the notice to leave from now on. */
  static void leaveOnSignal(Service service, AsyncLogWriter log) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(service, log), "leave"));
  }

  /**
   * The runtime waits for this, and then ends with status 0, or with its own where the service has
   * failed.
   */
  private static void leave(Service service, AsyncLogWriter log) {
    try {
      if (service.failed()) {
        log.close();
        return;
      }
      service.drain();
      service.await();
      log.write(service.counts());
      log.close();
    } catch (InterruptedException broken) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0);
  }
}
