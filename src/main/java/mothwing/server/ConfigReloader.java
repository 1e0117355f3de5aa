package mothwing.server;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import mothwing.settings.InvalidInputException;

/**
 * Reads the configuration again and applies it to the running server. The file is read on a thread
 * of its own, one read after the other, so that the event loop never waits for a disk and the last
 * read wins.
 */
public final class ConfigReloader {
  private final String path;
  private final Server server;
  private Config current;
  private final ExecutorService reader =
      Executors.newSingleThreadExecutor(
          work -> {
            Thread thread = new Thread(work, "reload");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Makes a reloader.
   *
   * @param path the path of the configuration
   * @param first the configuration in force
   * @param server takes the new configuration
   */
  public ConfigReloader(String path, Config first, Server server) {
    this.path = path;
    this.current = first;
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
