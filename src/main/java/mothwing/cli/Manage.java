package mothwing.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import mothwing.settings.Addresses;

/** Sends one admin command to a running shop server. */
final class Manage {
  private static final int TIMEOUT_MILLIS = 3000;

  private Manage() {}

  /** Prints the reply. The exit status is 0, or 1 where the reply is an error. */
  static int run(String server, String call, PrintStream out) throws IOException {
    String reply = call(server, call);
    out.print(reply);
    return reply.startsWith("NO") ? 1 : 0;
  }

  /** Sends a command and returns the reply. */
  static String call(String server, String call) throws IOException {
    InetSocketAddress address = Addresses.parse(server, "server");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(address, TIMEOUT_MILLIS);
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
