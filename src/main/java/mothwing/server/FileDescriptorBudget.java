package mothwing.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Determines how many file descriptors this process may hold, and how many are not available to
 * clients.
 */
final class FileDescriptorBudget {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final int MAX_RESERVED = 64;

  /**
   * Reserve for connections that are not clients', connects in progress, listeners, and lingering
   * connections.
   */
  private static final int MIN_RESERVED = 24;

  private static final int DEFAULT_OPEN = 16;
  private static final Path OPEN_DESCRIPTORS = Path.of("/proc/self/fd");

  private FileDescriptorBudget() {}

  /**
   * Returns the lower of the configured limit and the kernel's.
   *
   * @param configured the limit in the configuration
   * @return file descriptors, above 0
   */
  static int limitFor(int configured) {
    try {
      return Math.min(
          configured, limit(Files.readAllLines(LIMITS, StandardCharsets.ISO_8859_1), configured));
    } catch (IOException notLinux) {
      return configured;
    }
  }

  /** Returns the soft limit in the kernel's table, or a fallback if the table states none. */
  static int limit(List<String> table, int fallback) {
    for (String line : table) {
      if (line.startsWith(OPEN_FILES)) {
        String soft = line.substring(OPEN_FILES.length()).strip().split("\\s+")[0];
        return soft.matches("[1-9][0-9]{0,8}") ? Integer.parseInt(soft) : fallback;
      }
    }
    return fallback;
  }

  /**
   * Returns the number of file descriptors reserved for the connections to pool, dependency and
   * discovery service, for lingering connections and for the runtime, so that load reports and runs
   * continue however many clients connect.
   *
   * @param limit the total number of file descriptors
   * @param open how many this process holds before it listens
   * @return a quarter of the limit, at most {@value #MAX_RESERVED}, but at least {@value
   *     #MIN_RESERVED} more than those open
   */
  static int reserved(int limit, int open) {
    return Math.max(open + MIN_RESERVED, Math.min(MAX_RESERVED, limit / 4));
  }

  /**
   * Returns how many descriptors this process holds now, or {@value #DEFAULT_OPEN} if the kernel
   * does not report it.
   */
  static int openNow() {
    String[] descriptors = OPEN_DESCRIPTORS.toFile().list();
    return descriptors == null ? DEFAULT_OPEN : descriptors.length;
  }
}
