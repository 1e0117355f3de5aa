package mothwing.cli;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import mothwing.fastcgi.FastCgiClient;
import mothwing.settings.Addresses;

/** Prints the counters of a running shop server. */
final class Counts {
  private static final int TIMEOUT_MILLIS = 3000;

  private Counts() {}

  static int run(String server, PrintStream out) throws IOException {
    InetSocketAddress address = Addresses.parse(server, "server");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(address, TIMEOUT_MILLIS);
      socket.getOutputStream().write(FastCgiClient.request("/counts"));
      String answer =
          new String(
              FastCgiClient.readResponse(new DataInputStream(socket.getInputStream())),
              StandardCharsets.UTF_8);
      out.print(answer.substring(answer.indexOf("\r\n\r\n") + "\r\n\r\n".length()));
    }
    return 0;
  }
}
