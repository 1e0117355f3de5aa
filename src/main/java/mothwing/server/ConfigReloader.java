package mothwing.server;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import mothwing.settings.InvalidInputException;

/**
 * Rereads the configuration and applies it to the running server. The file is read on a thread of
 * its own, one read at a time, so that the event loop never waits for a disk and the last read
 * wins.
 */
public final class ConfigReloader {
  private final String path;
  private final Server server;
  private Config current;
  private final ExecutorService reader =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Creates a reloader.
   *
   * @param path the path of the configuration file
   * @param initial the configuration in force
   * @param server the server to reconfigure
   */
  public ConfigReloader(String path, Config initial, Server server) {
    this.path = path;
    this.current = initial;
    this.server = server;
  }

  /**
   * Reloads the configuration. May be called from any thread, and more than once. A configuration
   * that cannot be read changes nothing.
   */
  public void reload() {
    reader.execute(
        () -> {
          try {
            Config next = current.readSuccessor(path);
            server.reload(next);
            current = next;
          } catch (IOException | RuntimeException failure) {
            server.reloadFailed(
                failure instanceof InvalidInputException
                    ? failure.getMessage()
                    : failure.toString());
          }
        });
  }
}
