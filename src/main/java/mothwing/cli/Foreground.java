package mothwing.cli;

import mothwing.server.AsyncLogWriter;
import mothwing.server.Service;

/** Runs a service in the foreground until a signal ends it. */
final class Foreground {
  private Foreground() {}

  /** Drains the service on SIGTERM or SIGINT from now on. */
  static void drainOnSignal(Service service, AsyncLogWriter log) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(service, log), "drain"));
  }

  /**
   * The runtime waits for this, and then ends with status 0, or with its own where the service has
   * failed.
   */
  private static void drain(Service service, AsyncLogWriter log) {
    try {
      if (service.hasFailed()) {
        log.close();
        return;
      }
      service.drain();
      service.await();
      log.write(service.counts());
      log.close();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0);
  }
}
