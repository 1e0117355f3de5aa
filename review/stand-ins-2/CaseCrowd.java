import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A crowd of clients that stop half way, beside a gateway with ordinary traffic. */
final class CaseCrowd {
  private static final int CLIENTS = 940; // at a time; three waves of them
  private static final int WAVES = 3;
  private static final int OPEN_ON_A_CONNECTION = 32;
  private static final int BODY_BYTES = 2048;
  private static final int PERIOD_MS = 50;
  private static final long CROWD_AT_MS = 4000;
  private static final long WAVE_MS = 2500;
  private static final long RUN_MS = 22_000;
  private static final long GIVE_UP_MS = 2000;
  private static final long SLACK_MS = 150; // of the settings, and 50 ms on sockets
  private static final double TOLERATED_SHARE = 0.003;

  private CaseCrowd() {}

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Lab lab = new Lab(arguments[0], arguments[1])) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static int run(Lab lab) throws Exception {
    int listen = Lab.freePort();
    Lab.Pool pool = lab.new Pool(request -> 40);
    Lab.Announce announce = lab.new Announce();
    var config =
        lab.config("config.json", "s1", listen, pool.port(), announce.port(), null, null, 3200,
            192, 1024,
            Lab.settings("suspend",
                Lab.requestClass("stock-look", "free", 800, GIVE_UP_MS, 1, 5000),
                Lab.requestClass("stall-order", "single_shot", 800, GIVE_UP_MS, 10, 5000)));
    Lab.Node node = lab.serve("s1", config, listen, lab.temporary.resolve("tmp"), "");
    if (!lab.awaitHealthy(listen, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start: " + node.logText());
    }
    Lab.Gateway gateway = lab.keep(lab.new Gateway(listen, 32));
    List<Lab.Request> sent = new ArrayList<>();
    Thread crowd = new Thread(() -> crowd(lab, listen), "crowd");
    crowd.setDaemon(true);
    long start = lab.now();
    long end = start + RUN_MS;
    boolean came = false;
    for (int i = 0; lab.now() < end && node.process.isAlive(); i++) {
      Lab.sleep(start + (long) i * PERIOD_MS - lab.now());
      if (lab.trouble && !came && lab.now() >= start + CROWD_AT_MS) {
        came = true;
        crowd.start();
      }
      Lab.Request request = lab.request(i % 5 == 0 ? "stall-order" : "stock-look", null);
      if (gateway.send(request)) {
        sent.add(request);
      }
    }
    Lab.sleep(GIVE_UP_MS + SLACK_MS + 5000);
    int lost = 0;
    for (Lab.Request request : sent) {
      if (request.answeredAt == 0
          || request.answeredAt > request.acceptedAt + GIVE_UP_MS + SLACK_MS) {
        lost++;
      }
    }
    int ping = lab.ping(listen, 5000);
    boolean alive = node.process.isAlive();
    lab.note("last lines of the server: " + tail(node.logText()));
    String seen =
        "sent=" + sent.size() + " without an answer in time=" + lost + " process alive=" + alive
            + " health check after the crowd has left=" + (ping < 0 ? "no answer" : ping);
    boolean broken = !alive || ping < 0 || lost > TOLERATED_SHARE * sent.size();
    return lab.verdict(broken ? Lab.BROKEN : Lab.HELD, seen);
  }

  private static String tail(String log) {
    StringBuilder lines = new StringBuilder();
    for (String line : log.split("\n")) {
      if (!line.contains("connection-closed")) {
        lines.append(line).append(" | ");
      }
    }
    return lines.substring(Math.max(0, lines.length() - 1000));
  }

  /** What one client sends: requests that are begun and lack the end of their body. */
  private static byte[] halves(Lab lab) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] body = new byte[BODY_BYTES];
    for (int id = 1; id <= OPEN_ON_A_CONNECTION; id++) {
      byte[] pairs = Lab.Gateway.pairs(Lab.Gateway.params(lab.request("stock-look", null)));
      Lab.Gateway.begin(out, id);
      Lab.Gateway.record(out, 4, id, pairs, 0, pairs.length);
      Lab.Gateway.record(out, 4, id, pairs, 0, 0);
      Lab.Gateway.record(out, 5, id, body, 0, body.length);
    }
    return out.toByteArray();
  }

  /** Comes in waves; each has left after two seconds and a half. */
  private static void crowd(Lab lab, int port) {
    byte[] bytes = halves(lab);
    for (int wave = 1; wave <= WAVES; wave++) {
      List<Socket> sockets = new CopyOnWriteArrayList<>();
      long leavesAt = lab.now() + WAVE_MS;
      lab.clock.schedule(() -> leave(sockets), WAVE_MS, TimeUnit.MILLISECONDS);
      try {
        for (int i = 0; i < CLIENTS && lab.now() < leavesAt; i++) {
          Socket socket = new Socket();
          sockets.add(socket);
          socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), 500);
          socket.getOutputStream().write(bytes);
        }
      } catch (IOException e) {
        lab.note("crowd: " + e.getMessage());
      }
      lab.note("crowd, wave " + wave + ": " + sockets.size()
          + " clients have connected and stopped half way");
      Lab.sleep(leavesAt - lab.now());
      leave(sockets);
      lab.note("crowd, wave " + wave + ": they have left");
    }
  }

  private static void leave(List<Socket> sockets) {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        // it is closed already
      }
    }
  }
}
