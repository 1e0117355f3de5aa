package mothwing.cli;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import mothwing.fastcgi.FastCgiClient;
import mothwing.settings.Addresses;

/** Asks a running shop server for its counters. */
final class Counts {
  private static final int PATIENCE_MS = 3000;

  private Counts() {}

  static int run(String server, PrintStream out) throws IOException {
    InetSocketAddress address = Addresses.read(server, "server");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(PATIENCE_MS);
      socket.connect(address, PATIENCE_MS);
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
