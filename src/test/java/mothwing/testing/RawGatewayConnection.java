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
 * A FastCGI gateway connection with which a test controls the order of events at the socket: unread
 * bytes, resets, and closes by either side.
 */
public final class RawGatewayConnection implements AutoCloseable {
  private static final Path TCP4_SOCKETS = Path.of("/proc/net/tcp");
  private static final Path TCP6_SOCKETS = Path.of("/proc/net/tcp6");
  private static final int DEFAULT_RECEIVE_BUFFER_BYTES = 128 << 10;

  /** Far beyond any deadline: a test that waits this long has failed. */
  private static final int TIMEOUT_MS = 60_000;

  private final Gateway gateway = new Gateway.FastCgi();
  private final Socket socket = new Socket();

  /** Connects with a receive buffer of 128 KiB. */
  public RawGatewayConnection(InetSocketAddress address) throws IOException {
    this(address, DEFAULT_RECEIVE_BUFFER_BYTES);
  }

  /**
   * Connects with a receive buffer of the given size. With a small buffer, unread answers soon fill
   * the server's send buffer.
   */
  public RawGatewayConnection(InetSocketAddress address, int receiveBufferBytes)
      throws IOException {
    socket.setReceiveBufferSize(receiveBufferBytes);
    socket.setSoTimeout(TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    socket.connect(address);
  }

  public void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Encodes a complete request of a class. */
  public static byte[] request(int id, String requestClass, String traceId) {
    return new Gateway.FastCgi()
        .request(
            id,
            "/call/" + requestClass,
            "",
            Gateway.fields(traceId, System.currentTimeMillis()),
            new byte[] {1, 2, 3});
  }

  /** Encodes a health check request. */
  public static byte[] ping(int id) {
    return emptyRequest(id, "/ping");
  }

  /** Encodes a request for the counters, whose answer is many times longer than the request. */
  public static byte[] statistics(int id) {
    return emptyRequest(id, "/counts");
  }

  private static byte[] emptyRequest(int id, String path) {
    return new Gateway.FastCgi().request(id, path, "", Map.of(), new byte[0]);
  }

  /** Waits for the next answer, or returns null if the server closed its side first. */
  public Answer answer() throws IOException {
    byte[] buffer = new byte[8192];
    while (gateway.answers.isEmpty()) {
      int received = socket.getInputStream().read(buffer);
      if (received < 0) {
        return null;
      }
      gateway.receive(Arrays.copyOf(buffer, received));
    }
    return gateway.answers.remove();
  }

  /**
   * Reads to the end of the stream. Returns true if the server closed its side gracefully, false if
   * it reset the connection.
   */
  public boolean endsGracefully() throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // discards remaining bytes
      }
      return true;
    } catch (SocketException reset) {
      return false;
    }
  }

  /** Waits until at least this many bytes lie unread in the server's socket. */
  public void awaitUnread(int bytes) throws IOException {
    long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
    while (unreadBytes() < bytes) {
      if (System.nanoTime() > deadline) {
        throw new IOException("the server has read bytes that the test expects to stay unread");
      }
      Thread.onSpinWait();
    }
  }

  /** Returns the number of unread bytes in the server's socket, as listed in /proc/net/tcp. */
  public int unreadBytes() throws IOException {
    String local = String.format(":%04X", socket.getPort());
    String remote = String.format(":%04X", socket.getLocalPort());
    return Math.max(
        unreadBytes(TCP4_SOCKETS, local, remote), unreadBytes(TCP6_SOCKETS, local, remote));
  }

  private static int unreadBytes(Path list, String local, String remote) throws IOException {
    if (!Files.isReadable(list)) {
      return 0;
    }
    List<String> lines = Files.readAllLines(list, StandardCharsets.ISO_8859_1);
    for (String line : lines) {
      String[] columns = line.strip().split("\\s+");
      if (columns.length > 4 && columns[1].endsWith(local) && columns[2].endsWith(remote)) {
        return Integer.parseInt(columns[4].substring(columns[4].indexOf(':') + 1), 16);
      }
    }
    return 0;
  }

  /** Closes the connection with a reset. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Closes the sending side only. */
  public void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
