import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operators at a server's second address (ops/DAYS, A door for operators): one fetches the
 * figures ten times a second, and a few callers connect and complete no call for 4 s.
 */
final class Operators {
  private static final int FETCH_EVERY_MS = 100;
  private static final int PATIENCE_MS = 1000;
  private static final int SILENT_CALLERS = 4;
  private static final int SILENT_MS = 4000;

  private final int port;
  private final AtomicInteger fetched = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();

  Operators(int port) {
    this.port = port;
  }

  void begin() {
    Announce.daemon("fetcher", () -> forever(this::fetch, FETCH_EVERY_MS));
    for (int i = 0; i < SILENT_CALLERS; i++) {
      Announce.daemon("silent-" + i, () -> forever(this::beSilent, FETCH_EVERY_MS));
    }
  }

  private interface Call {
    void make(Socket socket) throws IOException, InterruptedException;
  }

  private void forever(Call call, int pauseMillis) {
    while (true) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(Lab.loopback(), port), PATIENCE_MS);
        call.make(socket);
      } catch (IOException failed) {
        unanswered.incrementAndGet();
      } catch (InterruptedException interrupted) {
        return;
      }
      try {
        Thread.sleep(pauseMillis);
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private void fetch(Socket socket) throws IOException {
    socket.setSoTimeout(PATIENCE_MS);
    socket.getOutputStream().write("DUMP\n".getBytes(StandardCharsets.US_ASCII));
    String reply =
        new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    if (!reply.endsWith("END\n")) {
      throw new IOException("no END");
    }
    fetched.incrementAndGet();
  }

  private void beSilent(Socket socket) throws IOException, InterruptedException {
    socket.getOutputStream().write("HEA".getBytes(StandardCharsets.US_ASCII));
    Thread.sleep(SILENT_MS);
  }

  @Override
  public String toString() {
    return "figures fetched: " + fetched + " times, calls that failed: " + unanswered;
  }
}
