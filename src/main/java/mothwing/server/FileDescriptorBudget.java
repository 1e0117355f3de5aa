package mothwing.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** How many file descriptors this process may hold, and how many are reserved from clients. */
final class FileDescriptorBudget {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final int MAX_RESERVED = 64;

  /** For other connections, connects in progress, listeners, and lingering connections. */
  private static final int MIN_RESERVED = 24;

  private static final int USUALLY_OPEN = 16;
  private static final Path OPEN_DESCRIPTORS = Path.of("/proc/self/fd");

  private FileDescriptorBudget() {}

  /**
   * The lower one of the configured limit and the kernel's.
   *
   * @param configured the number in the configuration
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

  /** The soft limit in the kernel's table, or another number where it states none. */
  static int limit(List<String> table, int otherwise) {
    for (String line : table) {
      if (line.startsWith(OPEN_FILES)) {
        String soft = line.substring(OPEN_FILES.length()).strip().split("\\s+")[0];
        return soft.matches("[1-9][0-9]{0,8}") ? Integer.parseInt(soft) : otherwise;
      }
    }
    return otherwise;
  }

  /**
   * File descriptors that are reserved for the connections to pool, dependency and discovery
   * service, for lingering connections and for the runtime: load reports and runs go on however
   * many clients connect.
   *
   * @param limit file descriptors in all
   * @param open how many this process holds before it listens
   * @return their number: a quarter, {@value #MAX_RESERVED} at most, but no less than those open
   *     and {@value #LEAST_SPARE} more
   */
  static int reserved(int limit, int open) {
    return Math.max(open + MIN_RESERVED, Math.min(MAX_RESERVED, limit / 4));
  }

  /** How many this process holds now, or a usual number where the kernel does not say. */
  static int openNow() {
    String[] descriptors = OPEN_DESCRIPTORS.toFile().list();
    return descriptors == null ? USUALLY_OPEN : descriptors.length;
  }
}
