import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The announce service: answers each report with 204. */
final class Announce {
  private final ServerSocket listener;

  Announce() throws IOException {
    listener = new ServerSocket(0, 50, Lab.loopback());
    daemon("announce", this::accept);
  }

  static void daemon(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        daemon("report", () -> answer(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void answer(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      int length = 0;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String lower = line.toLowerCase(Locale.ROOT);
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring(15).strip());
        } else if (line.isEmpty()) {
          for (; length > 0; length--) {
            in.read();
          }
          socket
              .getOutputStream()
              .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException ended) {
      // the server closed the connection
    }
  }
}
