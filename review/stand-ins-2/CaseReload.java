import java.nio.charset.StandardCharsets;

/** A zone file is read again with one malformed line; an update was accepted for that name. */
final class CaseReload {
  private static final String TILL = "till." + Dns.ZONE;
  private static final String DESK = "desk." + Dns.ZONE;

  private CaseReload() {}

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Lab lab = new Lab(arguments[0], arguments[1])) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static int run(Lab lab) throws Exception {
    Dns dns = new Dns(lab, Dns.head(1) + "till 300 A 127.0.1.1\ndesk 300 A 127.0.1.5\n");
    Lab.Node node = lab.program("dns", dns.command());
    if (!dns.awaitServing(lab, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start: " + node.logText());
    }
    Dns.Answer joined =
        dns.ask(dns.update(new Dns.Line(TILL, Dns.A, Dns.IN, 300, Dns.address("127.0.1.2"))), 6000);
    lab.note("update: add " + TILL + " 300 A 127.0.1.2 -> " + joined);
    Dns.Answer before = dns.ask(dns.question(TILL, Dns.A), 3000);
    lab.note(TILL + " A? " + before);
    if (joined == null || joined.rcode() != 0 || before == null || before.records().size() != 2) {
      return lab.verdict(Lab.NOT_RUN, "the update was answered by " + joined);
    }
    String till = lab.trouble ? "till 300 A 127.0.1.\n" : "till 300 A 127.0.1.1\n";
    dns.write(Dns.head(1000) + till + "desk 300 A 127.0.1.6\n");
    lab.note("the zone file is written again, with " + till.strip());
    Lab.sleep(500);
    node.signal("HUP");
    long end = lab.now() + 20_000;
    while (!has(dns, DESK, "127.0.1.6")) {
      if (lab.now() > end) {
        return lab.verdict(Lab.NOT_RUN, "the file was not read again: " + node.logText());
      }
      Lab.sleep(100);
    }
    Dns.Answer after = dns.ask(dns.question(TILL, Dns.A), 3000);
    lab.note("after the reload: " + TILL + " A? " + after);
    boolean lost = !has(dns, TILL, "127.0.1.2");
    return lab.verdict(
        lost ? Lab.BROKEN : Lab.HELD,
        "the address that an update added and the server confirmed is "
            + (lost ? "lost: " + after : "there"));
  }

  private static boolean has(Dns dns, String name, String address) {
    Dns.Answer answer = dns.ask(dns.question(name, Dns.A), 3000);
    return answer != null && answer.records().contains("type 1 " + address);
  }
}
