package mothwing.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;

/**
 * The kernel's TCP socket table for one listening address, over all processes. The format is that
 * of Linux (proc_net_tcp): the words of an address are in the machine's byte order, here
 * little-endian.
 *
 * @param listeners sockets that listen there
 * @param connections connections accepted there, or waiting to be
 */
record SocketTable(int listeners, int connections) {
  /** The lists of IPv4 and IPv6. */
  static final List<Path> LISTS = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

  private static final String ESTABLISHED = "01";
  private static final String CLOSE_WAIT = "08";
  private static final String LISTEN = "0A";
  private static final int WORD = 4;
  private static final String MAPPED = "0000000000000000FFFF0000";

  /**
   * Reads the socket tables.
   *
   * @param address a listening address
   * @param lists the files; one that does not exist is skipped
   * @return the sockets at the address
   * @throws IOException where none can be read
   */
  static SocketTable at(InetSocketAddress address, List<Path> lists) throws IOException {
    SocketTable total = null;
    for (Path list : lists) {
      if (Files.isReadable(list)) {
        SocketTable sockets = of(address, Files.readAllLines(list, StandardCharsets.ISO_8859_1));
        total =
            total == null
                ? sockets
                : new SocketTable(
                    total.listeners + sockets.listeners, total.connections + sockets.connections);
      }
    }
    if (total == null) {
      throw new IOException("none of " + lists + " can be read");
    }
    return total;
  }

  private static SocketTable of(InetSocketAddress address, List<String> lines) {
    String port = String.format(Locale.ROOT, ":%04X", address.getPort());
    String wanted = words(address.getAddress());
    int listeners = 0;
    int connections = 0;
    for (String line : lines) {
      if (!line.contains(port)) { // nearly all of a long list
        continue;
      }
      String[] parts = line.strip().split("\\s+", 5);
      if (parts.length < 5 || !parts[1].endsWith(port)) {
        continue;
      }
      String local = parts[1].substring(0, parts[1].length() - port.length());
      local = local.startsWith(MAPPED) ? local.substring(MAPPED.length()) : local;
      boolean any =
          address.getAddress().isAnyLocalAddress() || local.chars().allMatch(digit -> digit == '0');
      if (!any && !local.equals(wanted)) {
        continue;
      }
      listeners += parts[3].equals(LISTEN) ? 1 : 0;
      connections += parts[3].equals(ESTABLISHED) || parts[3].equals(CLOSE_WAIT) ? 1 : 0;
    }
    return new SocketTable(listeners, connections);
  }

  private static String words(InetAddress address) {
    byte[] bytes = address.getAddress();
    byte[] reversed = new byte[bytes.length];
    for (int i = 0; i < bytes.length; i++) {
      reversed[i] = bytes[i / WORD * WORD + WORD - 1 - i % WORD];
    }
    return HexFormat.of().withUpperCase().formatHex(reversed);
  }
}
