package mothwing.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** How many descriptors this process may hold, and how many of them no client gets. */
final class FileDescriptorBudget {
  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String OPEN_FILES = "Max open files";
  private static final int MAX_RESERVED = 64;
  private static final int MIN_RESERVED =
      24; // links, dials and listeners, and those that wait for the other side's close
  private static final int USUALLY_OPEN = 16;
  private static final Path OPEN = Path.of("/proc/self/fd");

  private FileDescriptorBudget() {}

  /**
   * The lower of what the configuration says and what the kernel does.
   *
   * @param told the number in the configuration
   * @return descriptors, above 0
   */
  static int limitFor(int told) {
    try {
      return Math.min(told, limit(Files.readAllLines(LIMITS, StandardCharsets.ISO_8859_1), told));
    } catch (IOException notLinux) {
      return told;
    }
  }

  /** The soft limit in the kernel's table, or another number where it says none. */
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
   * Descriptors that are kept for the links to the pool, the ledger and the announce service, for
   * connections whose other side has yet to close, and for the runtime: however many clients come,
   * reports and runs go on.
   *
   * @param most descriptors in all
   * @param held how many this process holds before it listens
   * @return their number: a quarter, {@value #MOST_SPARE} at most, but no less than those held and
   *     {@value #LEAST_SPARE} more
   */
  static int reserved(int most, int held) {
    return Math.max(held + MIN_RESERVED, Math.min(MAX_RESERVED, most / 4));
  }

  /** How many this process holds now, or an ordinary number where the kernel does not say. */
  static int openNow() {
    String[] all = OPEN.toFile().list();
    return all == null ? USUALLY_OPEN : all.length;
  }
}
