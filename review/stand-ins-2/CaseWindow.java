/** The window for repeats is made longer by SIGHUP, between a keyed request and its repeat. */
final class CaseWindow {
  private static final long SHORT_MS = 3000;
  private static final long LONG_MS = 20_000;
  private static final long GIVE_UP_MS = 2000;
  private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

  private CaseWindow() {}

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Lab lab = new Lab(arguments[0])) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static String settings(long spanMs) {
    return Lab.settings("suspend",
        Lab.requestClass("stock-look", "free", 800, GIVE_UP_MS, 1, 0),
        Lab.requestClass("stall-book", "guarded", 800, GIVE_UP_MS, 5, spanMs));
  }

  private static int run(Lab lab) throws Exception {
    int listen = Lab.freePort();
    int management = Lab.freePort();
    Lab.Pool pool = lab.new Pool(request -> 40);
    Lab.Announce announce = lab.new Announce();
    long before = lab.trouble ? SHORT_MS : LONG_MS;
    var config =
        lab.config("config.json", "s1", listen, pool.port(), announce.port(), null, management,
            3200, 192, 1024, settings(before));
    Lab.Node node = lab.serve("s1", config, listen, lab.temporary.resolve("tmp"), "");
    if (!lab.awaitHealthy(listen, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start: " + node.logText());
    }
    Lab.sleep(1500); // no SIGHUP comes in the first second of service
    Lab.Gateway gateway = lab.keep(lab.new Gateway(listen, 32));
    Lab.Request first = lab.request("stall-book", KEY);
    gateway.send(first);
    Lab.sleep(500);
    if (first.status != 200 || first.runs.get() != 1) {
      return lab.verdict(Lab.NOT_RUN, "the first try was not served");
    }
    if (lab.trouble) {
      lab.config("config.json", "s1", listen, pool.port(), announce.port(), null, management,
          3200, 192, 1024, settings(LONG_MS));
      node.signal("HUP");
    }
    long end = lab.now() + 2000;
    while (lab.trouble && !taken(lab, management)) {
      if (lab.now() > end) {
        return lab.verdict(Lab.NOT_RUN, "the new configuration was not taken");
      }
      Lab.sleep(50);
    }
    lab.note("the window of " + LONG_MS + " ms is in force, "
        + (lab.now() - first.acceptedAt) + " ms after the first try");
    Lab.sleep(first.acceptedAt + SHORT_MS + 2000 - lab.now());
    Lab.Request second = lab.request("stall-book", KEY);
    gateway.send(second);
    Lab.sleep(GIVE_UP_MS + 500);
    long apart = second.writtenAt - first.acceptedAt;
    boolean broken = second.runs.get() > 0 && apart < LONG_MS;
    return lab.verdict(
        broken ? Lab.BROKEN : Lab.HELD,
        "runs of the first try=" + first.runs.get() + " of its repeat=" + second.runs.get()
            + ", written " + apart + " ms after the first; answers " + first.status + " "
            + second.status);
  }

  private static boolean taken(Lab lab, int management) {
    String figures = lab.manage(management, "DUMP", 1000);
    return figures != null && figures.contains("\"config_reloads\":1");
  }
}
