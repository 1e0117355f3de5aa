/** A server that operators drained is upgraded; nobody has ended the drain. */
final class CaseDrained {
  private static final long LISTED_MS = 4000; // from then on no check may be good
  private static final long WATCH_MS = 8000;
  private static final long GIVE_UP_MS = 2000;

  private CaseDrained() {}

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Lab lab = new Lab(arguments[0], arguments[1])) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static Lab.Node start(Lab lab, String file, int listen, int management, Lab.Pool pool,
      Lab.Announce announce) throws Exception {
    var config =
        lab.config(file, "s1", listen, pool.port(), announce.port(), null, management, 3200, 192,
            1024,
            Lab.settings("suspend",
                Lab.requestClass("stock-look", "free", 800, GIVE_UP_MS, 1, 5000),
                Lab.requestClass("stall-order", "single_shot", 800, GIVE_UP_MS, 10, 5000)));
    return lab.serve("s1", config, listen, lab.temporary.resolve("tmp"), "");
  }

  private static boolean yes(String reply) {
    return reply != null && reply.startsWith("YES");
  }

  private static int run(Lab lab) throws Exception {
    int listen = Lab.freePort();
    int management = Lab.freePort();
    Lab.Announce announce = lab.new Announce();
    Lab.Node first =
        start(lab, "first.json", listen, management, lab.new Pool(request -> 40), announce);
    if (!lab.awaitHealthy(listen, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start: " + first.logText());
    }
    String reply = lab.manage(management, "LEAVE", 1000);
    long leftAt = lab.now();
    lab.note("LEAVE: " + reply);
    if (!yes(reply)) {
      return lab.verdict(Lab.NOT_RUN, "LEAVE was answered by " + reply);
    }
    while (lab.now() < leftAt + LISTED_MS + 500) {
      Lab.sleep(100);
      if (lab.now() > leftAt + 1000 && lab.ping(listen, 1000) == 200) {
        return lab.verdict(Lab.BROKEN, "a good check " + (lab.now() - leftAt) + " ms after LEAVE");
      }
    }
    lab.note("health checks are bad since LEAVE");
    if (lab.trouble && !upgrade(lab, first, listen, announce)) {
      return lab.verdict(Lab.NOT_RUN, "the second process did not say yes within 6 s");
    }
    int good = 0;
    int bad = 0;
    long firstGood = 0;
    long end = lab.now() + WATCH_MS;
    while (lab.now() < end) {
      Lab.sleep(100);
      int status = lab.ping(listen, 1000);
      good += status == 200 ? 1 : 0;
      bad += status == 200 ? 0 : 1;
      if (status == 200 && firstGood == 0) {
        firstGood = lab.now();
        lab.note("a good health check; reports say " + announce.last);
      }
    }
    return lab.verdict(
        good > 0 ? Lab.BROKEN : Lab.HELD,
        "checks after LEAVE and without JOIN: good=" + good + " bad=" + bad
            + (good > 0 ? " the first " + (firstGood - leftAt) + " ms after LEAVE" : ""));
  }

  /** As the platform does it; false if the new process is not ready in time. */
  private static boolean upgrade(Lab lab, Lab.Node first, int listen, Lab.Announce announce)
      throws Exception {
    int management = Lab.freePort();
    start(lab, "second.json", listen, management, lab.new Pool(request -> 40), announce);
    long end = lab.now() + 6000;
    while (!yes(lab.manage(management, "HEALTH", 1000))) {
      if (lab.now() > end) {
        return false;
      }
      Lab.sleep(50);
    }
    lab.note("the new process says yes");
    first.signal("TERM");
    lab.clock.schedule(
        () -> {
          if (first.process.isAlive()) {
            try {
              first.signal("KILL");
            } catch (java.io.IOException e) {
              lab.note("kill: " + e.getMessage());
            }
          }
        },
        GIVE_UP_MS + 700,
        java.util.concurrent.TimeUnit.MILLISECONDS);
    return true;
  }
}
