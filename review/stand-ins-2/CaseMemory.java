import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An upgrade under load, in a deployment whose memory some fifty runs fill. */
final class CaseMemory {
  private static final int CORES = 6;
  private static final double RUNS_A_CORE = 9.1; // that fill the memory
  private static final double RUN_FACTOR = 16;
  private static final double RESERVE_KB = 24.5;
  private static final double MEMORY_KB = CORES * RUNS_A_CORE * RUN_FACTOR * RESERVE_KB;
  private static final long RUN_MS = 1200;
  private static final long GIVE_UP_MS = 4500;
  private static final int PERIOD_MS = 12;
  private static final long SAMPLE_MS = 20;
  private static final long UPGRADE_AT_MS = 8000;
  private static final long WHOLE_MS = 18_000;

  private CaseMemory() {}

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Lab lab = new Lab(arguments[0], arguments[1])) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static Lab.Pool pool(Lab lab) throws Exception {
    Lab.Pool pool = lab.new Pool(request -> RUN_MS);
    // runs that wait for the disk: the cores have little to do
    pool.meters =
        () -> "0.3,2," + Math.min(1, lab.bookedKb(RUN_FACTOR) / MEMORY_KB) + ",20";
    return pool;
  }

  private static Lab.Node start(Lab lab, String file, int listen, int management,
      Lab.Announce announce) throws Exception {
    String settings =
        Lab.settings("suspend",
                Lab.requestClass("stock-look", "free", 1800, GIVE_UP_MS, 1, 5000),
                Lab.requestClass("stall-order", "single_shot", 1800, GIVE_UP_MS, 10, 5000))
            .replace("\"MemoryKb\":200000.0", "\"MemoryKb\":" + MEMORY_KB)
            .replace("\"RunMemFactor\":8.0", "\"RunMemFactor\":" + RUN_FACTOR);
    var config =
        lab.config(file, "s1", listen, pool(lab).port(), announce.port(), null, management, 3200,
            192, 1024, settings);
    return lab.serve("s1", config, listen, lab.temporary.resolve("tmp"), "");
  }

  private static int run(Lab lab) throws Exception {
    int listen = Lab.freePort();
    Lab.Announce announce = lab.new Announce();
    Lab.Node first = start(lab, "first.json", listen, Lab.freePort(), announce);
    if (!lab.awaitHealthy(listen, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start: " + first.logText());
    }
    // one gateway keeps its connections busy, the other uses each for one request at a time
    Lab.Gateway[] gateways = {
      lab.keep(lab.new Gateway(listen, 32)), lab.keep(lab.new Gateway(listen, 1))
    };
    double[] most = new double[2];
    long[] overMs = new long[1];
    long start = lab.now();
    boolean[] upgraded = new boolean[1];
    lab.clock.scheduleAtFixedRate(
        () -> {
          double booked = lab.bookedKb(RUN_FACTOR);
          int phase = upgraded[0] ? 1 : 0;
          if (booked > most[phase]) {
            most[phase] = booked;
          }
          overMs[0] += booked > MEMORY_KB ? SAMPLE_MS : 0;
          if ((lab.now() - start) % 250 < SAMPLE_MS) {
            lab.note("booked_kb=" + Math.round(booked) + " of " + Math.round(MEMORY_KB));
          }
        },
        SAMPLE_MS, SAMPLE_MS, TimeUnit.MILLISECONDS);
    int[] management = {0};
    boolean ready = false;
    List<Lab.Request> sent = new ArrayList<>();
    for (int i = 0; lab.now() < start + WHOLE_MS; i++) {
      Lab.sleep(start + (long) i * PERIOD_MS - lab.now());
      if (lab.trouble && management[0] == 0 && lab.now() > start + UPGRADE_AT_MS - 1000) {
        management[0] = Lab.freePort();
        int port = management[0];
        new Thread(() -> upgrade(lab, first, listen, port, announce, upgraded)).start();
      }
      Lab.Request request = lab.request(i % 5 == 0 ? "stall-order" : "stock-look", null);
      request.reserveKb = RESERVE_KB;
      if (gateways[i % 2].send(request)) {
        sent.add(request);
      }
    }
    Lab.sleep(GIVE_UP_MS + 500);
    long served = sent.stream().filter(request -> request.status == 200).count();
    long refused = sent.stream().filter(request -> request.status == 503).count();
    String seen =
        "memory_kb=" + Math.round(MEMORY_KB) + " most booked before the upgrade="
            + Math.round(most[0]) + " from it on=" + Math.round(most[1]) + " ms above the memory=" + overMs[0] + " sent=" + sent.size()
            + " served=" + served + " refused=" + refused;
    if (lab.trouble && !upgraded[0]) {
      return lab.verdict(Lab.NOT_RUN, "no upgrade; " + seen);
    }
    boolean broken = Math.max(most[0], most[1]) > MEMORY_KB;
    return lab.verdict(broken ? Lab.BROKEN : Lab.HELD, seen);
  }

  /** As the platform does it. */
  private static void upgrade(Lab lab, Lab.Node first, int listen, int management,
      Lab.Announce announce, boolean[] upgraded) {
    try {
      start(lab, "second.json", listen, management, announce);
      long end = lab.now() + 6000;
      for (String reply = null; reply == null || !reply.startsWith("YES");
          reply = lab.manage(management, "HEALTH", 1000)) {
        if (lab.now() > end) {
          return;
        }
        Lab.sleep(20);
      }
      upgraded[0] = true;
      first.signal("TERM");
      Lab.sleep(3000 + 700);
      if (first.process.isAlive()) {
        first.signal("KILL");
      }
    } catch (Exception e) {
      lab.note("upgrade: " + e);
    }
  }
}
