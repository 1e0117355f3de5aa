package mothwing.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mothwing.trial.Answer;
import mothwing.trial.Gateway;

/**
 * A gateway's connection with which a test forces what crosses what: bytes that lie unread, resets,
 * closes of either side.
 */
public final class RawGatewayConnection implements AutoCloseable {
  private static final Path SOCKETS = Path.of("/proc/net/tcp");
  private static final Path SOCKETS_6 = Path.of("/proc/net/tcp6");
  private static final int USUAL_ROOM = 128 << 10;
  private static final int PATIENCE_MS =
      60_000; // far beyond any due time: a test that waits so long has failed

  private final Gateway gateway = new Gateway.FastCgi();
  private final Socket socket = new Socket();

  /** Connects. */
  public RawGatewayConnection(InetSocketAddress to) throws IOException {
    this(to, USUAL_ROOM);
  }

  /**
   * The same, with so many bytes of room for what it does not read: in a small one answers back up
   * at the server soon.
   */
  public RawGatewayConnection(InetSocketAddress to, int room) throws IOException {
    socket.setReceiveBufferSize(room);
    socket.setSoTimeout(PATIENCE_MS);
    socket.setTcpNoDelay(true);
    socket.connect(to);
  }

  /** Sends bytes. */
  public void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** The bytes of a request of a class, whole. */
  public static byte[] request(int id, String kind, String traceId) {
    return new Gateway.FastCgi()
        .request(
            id,
            "/call/" + kind,
            "",
            Gateway.fields(traceId, System.currentTimeMillis()),
            new byte[] {1, 2, 3});
  }

  /** The bytes of a health check. */
  public static byte[] ping(int id) {
    return plain(id, "/ping");
  }

  /** The bytes of a question for the counters, whose answer is many times as long. */
  public static byte[] statistics(int id) {
    return plain(id, "/counts");
  }

  private static byte[] plain(int id, String path) {
    return new Gateway.FastCgi().request(id, path, "", Map.of(), new byte[0]);
  }

  /** Waits for the next answer; null where the server ended its side first. */
  public Answer answer() throws IOException {
    byte[] room = new byte[8192];
    while (gateway.answers.isEmpty()) {
      int came = socket.getInputStream().read(room);
      if (came < 0) {
        return null;
      }
      gateway.came(Arrays.copyOf(room, came));
    }
    return gateway.answers.remove();
  }

  /**
   * Reads to the end: true where the server ended its side in order, false where it reset the
   * connection.
   */
  public boolean endsGracefully() throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // what else it says
      }
      return true;
    } catch (SocketException reset) {
      return false;
    }
  }

  /** Waits until so many bytes lie unread in the server's socket, by the kernel's own list. */
  public void awaitUnread(int bytes) throws IOException {
    long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
    while (unreadBytes() < bytes) {
      if (System.nanoTime() > until) {
        throw new IOException("the server has read what was to lie unread");
      }
      Thread.onSpinWait();
    }
  }

  /** How many bytes lie unread in the server's socket, by the kernel's own list. */
  public int unreadBytes() throws IOException {
    String ends = String.format(":%04X", socket.getPort());
    String peer = String.format(":%04X", socket.getLocalPort());
    return Math.max(unread(SOCKETS, ends, peer), unread(SOCKETS_6, ends, peer));
  }

  private static int unread(Path list, String local, String remote) throws IOException {
    if (!Files.isReadable(list)) {
      return 0;
    }
    List<String> lines = Files.readAllLines(list, StandardCharsets.ISO_8859_1);
    for (String line : lines) {
      String[] parts = line.strip().split("\\s+");
      if (parts.length > 4 && parts[1].endsWith(local) && parts[2].endsWith(remote)) {
        return Integer.parseInt(parts[4].substring(parts[4].indexOf(':') + 1), 16);
      }
    }
    return 0;
  }

  /** Ends it with a reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Ends this side only. */
  public void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
