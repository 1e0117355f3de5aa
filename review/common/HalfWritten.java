import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Case 3: a connection falls quiet within a request while other requests are open on it. */
final class HalfWritten {
  private static final int LONG_RUN_MS = 3200;
  private static final int MISSING_BYTES = 12;

  /** Requests without a final answer in their time, of 1,000, from which on the rule is broken. */
  private static final int ALLOWED_PER_MILLE = 3;

  private HalfWritten() {}

  public static void main(String[] arguments) throws Exception {
    Lab.play(arguments, HalfWritten::run);
  }

  private static Gateway.Request order(Gateway gateway, int millis) throws Exception {
    return gateway.send(
        gateway.request("/call/place-order", Site.fields(30), "work " + millis));
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    Announce announce = new Announce();
    Pool pool = new Pool(lab, "pool", Site.CORES);
    int port = Lab.freePort();
    String listen = "127.0.0.1:" + port;
    Path config = lab.temp.resolve("config.json");
    Files.writeString(config, Site.config(listen, pool.address(), announce.address(), "", 49000, 512));
    lab.server(
        "server",
        512,
        Map.of("EDGE_NAME", "shop-1", "EDGE_LISTEN", listen, "EDGE_CONFIG", config.toString()),
        lab.temp.resolve("tmp"));
    Gateway.awaitHealthy(lab, port, 30_000);

    Gateway first = new Gateway(lab, "gateway-1", port);
    Gateway second = new Gateway(lab, "gateway-2", port);
    List<Gateway.Request> warmUp = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      warmUp.add(order(first, 300));
    }
    Thread.sleep(1500);
    for (Gateway.Request request : warmUp) {
      if (request.status() != 200) {
        throw new Lab.NotRun("the server does not serve " + request);
      }
    }

    List<Gateway.Request> whole = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      whole.add(order(first, LONG_RUN_MS));
    }
    whole.add(order(second, LONG_RUN_MS));
    Thread.sleep(100);
    Gateway.Request cut = first.request("/call/stock-check", Site.fields(30), "work 300");
    if (trouble) {
      first.write(cut, cut.bytes.length - MISSING_BYTES);
      lab.note("gateway-1 falls quiet within this request; it stays open and reads on");
    } else {
      whole.add(first.send(cut));
    }
    long limit = Site.GIVE_UP_MS + Site.SLACK_MS + Site.SOCKET_MS;
    Thread.sleep(limit + 300);

    int lost = 0;
    for (Gateway.Request request : whole) {
      long due = request.acceptedAt + limit;
      boolean isLost = request.answer == null || request.answeredAt > due;
      lab.note((isLost ? "LOST " : "kept ") + request + " status=" + request.status());
      lost += isLost ? 1 : 0;
    }
    int sent = warmUp.size() + whole.size();
    lab.note("whole requests of both gateways: sent=" + sent + " lost=" + lost);
    lab.tail("server", 6);
    return lost * 1000L >= (long) sent * ALLOWED_PER_MILLE;
  }
}
