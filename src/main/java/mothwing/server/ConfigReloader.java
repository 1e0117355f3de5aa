package mothwing.server;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import mothwing.settings.InvalidInputException;

/**
 * Reads the configuration again and gives it to the running server. The file is read on a thread of
 * its own, one reading after the other: the event loop never waits for a disk, and the last reading
 * is the one that holds.
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
   * Makes one.
   *
   * @param path the path of the configuration
   * @param first the configuration in force
   * @param server takes what was read
   */
  public ConfigReloader(String path, Config first, Server server) {
    this.path = path;
    this.current = first;
    this.server = server;
  }

  /**
   * Reads it once more: may come from any thread, and more than once. What cannot be read changes
   * nothing.
   */
  public void reload() {
    reader.execute(
        () -> {
          try {
            Config now = current.readSuccessor(path);
            server.reload(now);
            current = now;
          } catch (IOException | RuntimeException bad) {
            server.reloadFailed(
                bad instanceof InvalidInputException ? bad.getMessage() : bad.toString());
          }
        });
  }
}
