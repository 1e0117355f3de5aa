import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Case 1: bad clients send a record that cannot be read, and the same again after each close. */
final class Unreadable {
  private static final int CLIENTS = 100;
  private static final int NAMES = 500;
  private static final int TROUBLE_MS = 10_000;

  private Unreadable() {}

  public static void main(String[] arguments) throws Exception {
    byte[] record = record();
    BadClients clients =
        new BadClients(
            CLIENTS,
            TROUBLE_MS,
            (port, connections) -> Unreadable.misbehave(port, record, connections));
    Lab.play(arguments, (lab, trouble) -> clients.play(lab, trouble, 512, false));
  }

  /** A FastCGI management record (GET_VALUES) whose last name is longer than the record. */
  private static byte[] record() {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    byte[] name = "FCGI_MAX_CONNS".getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < NAMES; i++) {
      content.write(name.length);
      content.write(0);
      content.writeBytes(name);
    }
    content.write(100); // a name of 100 bytes, of which none comes
    content.write(0);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int length = content.size();
    out.writeBytes(new byte[] {1, 9, 0, 0, (byte) (length >> 8), (byte) length, 0, 0});
    out.writeBytes(content.toByteArray());
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
