package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import mothwing.settings.Addresses;

/** Makes one call at the operators' door of a running shop server. */
final class Manage {
  private static final int PATIENCE_MS = 3000;

  private Manage() {}

  /** Prints the reply. The status is 0, or 1 where the reply is a no. */
  static int run(String server, String call, PrintStream out) throws IOException {
    String reply = call(server, call);
    out.print(reply);
    return reply.startsWith("NO") ? 1 : 0;
  }

  /** Makes a call, and gives the reply. */
  static String call(String server, String call) throws IOException {
    InetSocketAddress address = Addresses.read(server, "server");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(PATIENCE_MS);
      socket.connect(address, PATIENCE_MS);
      socket
          .getOutputStream()
          .write((call.toUpperCase(Locale.ROOT) + "\n").getBytes(StandardCharsets.UTF_8));
      String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      if (reply.isEmpty()) {
        throw new IOException("no reply from " + server);
      }
      return reply;
    }
  }
}
