package mothwing.trial;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;

/** A stand-in gateway's connection on loopback. */
public final class GatewayConnection implements AutoCloseable {
  private static final int PATIENCE_MS =
      60_000; // far beyond any due time: a test that waits so long has failed

  /** Its bytes. */
  public final Gateway gateway;

  private final Socket socket = new Socket();

  /** Connects. */
  public GatewayConnection(Gateway gateway, InetSocketAddress to) throws IOException {
    this.gateway = gateway;
    socket.setSoTimeout(PATIENCE_MS);
    socket.setTcpNoDelay(true);
    socket.connect(to);
  }

  /** Sends a request whole. */
  public void ask(int id, String kind, String traceId, byte[] body) throws IOException {
    send(
        gateway.request(
            id, "/call/" + kind, "", Gateway.fields(traceId, System.currentTimeMillis()), body));
  }

  /** Sends bytes. */
  public void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Waits for the next answer. */
  public Answer answer() throws IOException {
    byte[] room = new byte[8192];
    while (gateway.answers.isEmpty()) {
      int came = socket.getInputStream().read(room);
      if (came < 0) {
        throw new IOException("closed without an answer");
      }
      gateway.receive(Arrays.copyOf(room, came));
    }
    return gateway.answers.remove();
  }

  /** Waits until the server closes the connection. */
  public boolean closedByServer() throws IOException {
    return socket.getInputStream().read() < 0;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
