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
 * The numbers of TCP sockets at one listening address, over all processes, from the kernel's socket
 * table. The format is that of Linux (proc_net_tcp): the 32-bit groups of an address are in the
 * machine's byte order, here little-endian.
 *
 * @param listeners the number of sockets that listen at the address
 * @param connections the number of connections accepted there, or waiting to be accepted
 */
record SocketTable(int listeners, int connections) {
  /** The kernel's socket tables for IPv4 and IPv6. */
  static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

  private static final String ESTABLISHED = "01";
  private static final String CLOSE_WAIT = "08";
  private static final String LISTEN = "0A";
  private static final int GROUP_BYTES = 4;
  private static final String IPV4_MAPPED_PREFIX = "0000000000000000FFFF0000";

  /**
   * Reads the socket tables.
   *
   * @param address a listening address
   * @param tables the files of the tables; one that does not exist is skipped
   * @return the sockets at the address
   * @throws IOException if none can be read
   */
  static SocketTable read(InetSocketAddress address, List<Path> tables) throws IOException {
    SocketTable total = null;
    for (Path table : tables) {
      if (Files.isReadable(table)) {
        SocketTable sockets =
            parse(address, Files.readAllLines(table, StandardCharsets.ISO_8859_1));
        total =
            total == null
                ? sockets
                : new SocketTable(
                    total.listeners + sockets.listeners, total.connections + sockets.connections);
      }
    }
    if (total == null) {
      throw new IOException("none of the socket tables " + tables + " is readable");
    }
    return total;
  }

  private static SocketTable parse(InetSocketAddress address, List<String> lines) {
    String port = String.format(Locale.ROOT, ":%04X", address.getPort());
    String expected = kernelHex(address.getAddress());
    int listeners = 0;
    int connections = 0;
    for (String line : lines) {
      if (!line.contains(port)) { // skips most lines of a long table cheaply
        continue;
      }
      String[] columns = line.strip().split("\\s+", 5);
      if (columns.length < 5 || !columns[1].endsWith(port)) {
        continue;
      }
      String local = columns[1].substring(0, columns[1].length() - port.length());
      local =
          local.startsWith(IPV4_MAPPED_PREFIX)
              ? local.substring(IPV4_MAPPED_PREFIX.length())
              : local;
      boolean matchesAnyAddress =
          address.getAddress().isAnyLocalAddress() || local.chars().allMatch(digit -> digit == '0');
      if (!matchesAnyAddress && !local.equals(expected)) {
        continue;
      }
      listeners += columns[3].equals(LISTEN) ? 1 : 0;
      connections += columns[3].equals(ESTABLISHED) || columns[3].equals(CLOSE_WAIT) ? 1 : 0;
    }
    return new SocketTable(listeners, connections);
  }

  private static String kernelHex(InetAddress address) {
    byte[] bytes = address.getAddress();
    byte[] reversed = new byte[bytes.length];
    for (int i = 0; i < bytes.length; i++) {
      reversed[i] = bytes[i / GROUP_BYTES * GROUP_BYTES + GROUP_BYTES - 1 - i % GROUP_BYTES];
    }
    return HexFormat.of().withUpperCase().formatHex(reversed);
  }
}
