import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Case 2: bad clients send requests that never end, and the same again after each close. */
final class NeverEnding {
  private static final int CLIENTS = 800;

  /** As many as the protocol allows on one connection. */
  private static final int REQUESTS = 32;

  private static final int PARAMS_BYTES = 8000;
  private static final int TROUBLE_MS = 10_000;

  private NeverEnding() {}

  public static void main(String[] arguments) throws Exception {
    byte[] beginnings = beginnings();
    BadClients clients =
        new BadClients(
            CLIENTS,
            TROUBLE_MS,
            (port, connections) -> NeverEnding.misbehave(port, beginnings, connections));
    Lab.play(arguments, (lab, trouble) -> clients.play(lab, trouble, 1024));
  }

  /** The beginnings of requests: the parameters do not end. */
  private static byte[] beginnings() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int id = 1; id <= REQUESTS; id++) {
      out.writeBytes(new byte[] {1, 1, 0, (byte) id, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0});
      out.writeBytes(
          new byte[] {
            1, 4, 0, (byte) id, (byte) (PARAMS_BYTES >> 8), (byte) PARAMS_BYTES, 0, 0
          });
      out.writeBytes(new byte[PARAMS_BYTES]);
    }
    return out.toByteArray();
  }

  private static void misbehave(int port, byte[] bytes, AtomicLong connections)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(Lab.loopback(), port), 2000);
      connections.incrementAndGet();
      socket.setSoTimeout(4000);
      socket.getOutputStream().write(bytes);
      while (socket.getInputStream().read() >= 0) {
        // reads what it is sent, until the server closes
      }
    }
  }
}
