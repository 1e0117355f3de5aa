/** A dynamic update with a malformed record: an address without its bytes. */
final class CaseRecord {
  private static final String TILL = "till." + Dns.ZONE;

  private CaseRecord() {}

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Lab lab = new Lab(arguments[0], arguments[1])) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static int run(Lab lab) throws Exception {
    Dns dns = new Dns(lab, Dns.head(1));
    Lab.Node node = lab.program("dns", dns.command());
    if (!dns.awaitServing(lab, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start: " + node.logText());
    }
    Dns.Answer first =
        dns.ask(dns.update(new Dns.Line(TILL, Dns.A, Dns.IN, 60, Dns.address("127.0.1.1"))), 6000);
    lab.note("update: add " + TILL + " 60 A 127.0.1.1 -> " + first);
    if (first == null || first.rcode() != 0) {
      return lab.verdict(Lab.NOT_RUN, "the first update was answered by " + first);
    }
    byte[] data = lab.trouble ? new byte[0] : Dns.address("127.0.1.2");
    Dns.Answer second =
        dns.ask(dns.update(new Dns.Line(TILL, Dns.A, Dns.IN, 60, data)), 6000);
    lab.note("update: add " + TILL + " 60 A, data of " + data.length + " bytes -> " + second);
    if (second == null) {
      return lab.verdict(Lab.BROKEN, "the update was never answered");
    }
    String wrong = wrong(lab, dns, "before a restart");
    node.signal("TERM");
    node.process.waitFor(10, java.util.concurrent.TimeUnit.SECONDS);
    Lab.Node again = lab.program("dns-again", dns.command());
    if (!dns.awaitServing(lab, 30_000)) {
      return lab.verdict(Lab.NOT_RUN, "the server did not start again: " + again.logText());
    }
    String wrongAgain = wrong(lab, dns, "after a restart");
    boolean accepted = lab.trouble && second.rcode() == 0;
    return lab.verdict(
        accepted || !wrong.isEmpty() || !wrongAgain.isEmpty() ? Lab.BROKEN : Lab.HELD,
        "the second update was answered with code " + second.rcode() + "; answers for " + TILL
            + " that are no addresses or lack the first one: before a restart " + wrong
            + "after it " + wrongAgain);
  }

  /** What is wrong in the answer to a question for the addresses. */
  private static String wrong(Lab lab, Dns dns, String when) {
    Dns.Answer tcp = dns.ask(dns.question(TILL, Dns.A), 3000);
    Dns.Answer udp = dns.askUdp(dns.question(TILL, Dns.A), 3000);
    lab.note(when + ": " + TILL + " A? tcp " + tcp + " udp " + udp);
    StringBuilder wrong = new StringBuilder();
    for (Dns.Answer answer : new Dns.Answer[] {tcp, udp}) {
      if (answer == null || !answer.records().contains("type 1 127.0.1.1")) {
        wrong.append("lost ");
        continue;
      }
      for (String record : answer.records()) {
        if (!record.matches("type 1 \\d+\\.\\d+\\.\\d+\\.\\d+")) {
          wrong.append("'").append(record).append("' ");
        }
      }
    }
    return wrong.toString();
  }
}
