package mothwing.dns.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import mothwing.server.DnsService;
import mothwing.testing.DnsTestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/** The whole DNS server on loopback sockets, against stand-in resolvers and updaters. */
class DnsServiceTest {
  private static final String ZONE =
      DnsTestClient.ZONE_HEADER
          + "till A 10.1.0.1\nalias CNAME till\n"
          + "$GENERATE 1-60 many TXT \"some text that takes its room in the answer $\"\n";

  @TempDir private Path folder;
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private DnsService service;
  private InetSocketAddress server;

  private void start(String limits, String... keys) throws IOException {
    start(DnsTestClient.writeSite(folder, limits, ZONE, keys));
  }

  private void start(Path script) throws IOException {
    service = new DnsService(script, lines::add);
    service.start();
    server = service.address();
  }

  @AfterEach
  void stop() throws InterruptedException {
    if (service != null) {
      service.drain();
      service.await();
      String counts = service.counts();
      service.close();
      assertTrue(
          counts.contains("open=0 pending=0 ")
              && !counts.contains("fault")
              && !counts.contains("overdue"),
          () -> counts + lines);
      service = null;
    }
  }

  private Message ask(String name, int type) throws IOException {
    return DnsTestClient.sendUdp(server, DnsTestClient.question(name, type, 1232));
  }

  private static List<String> data(Message message, int section) {
    return message.getSection(section).stream()
        .filter(one -> one.getType() != Type.OPT)
        .map(one -> one.getName() + " " + Type.string(one.getType()) + " " + one.rdataToString())
        .toList();
  }

  private int update(Message update, String key) throws IOException {
    byte[] bytes = DnsTestClient.signed(update, DnsTestClient.key(key));
    Message answer = DnsTestClient.sendTcp(server, bytes);
    assertEquals(
        Rcode.NOERROR,
        DnsTestClient.key(key).verify(answer, answer.toWire(), new Message(bytes).getTSIG()));
    return answer.getRcode();
  }

  @Test
  void answersOverBothWays() throws IOException {
    start(", unproven_bytes = 1232");
    for (int i = 0; i < 2; i++) { // the second from the cache
      Message answer = ask("aLiAs", Type.A);
      assertTrue(answer.getHeader().getFlag(Flags.AA) && answer.getHeader().getFlag(Flags.QR));
      assertEquals("aLiAs.example.org.", answer.getQuestion().getName().toString());
      assertEquals(
          List.of("aLiAs.example.org. CNAME till.example.org.", "till.example.org. A 10.1.0.1"),
          data(answer, Section.ANSWER));
    }
    Message none = ask("none", Type.A);
    assertEquals(Rcode.NXDOMAIN, none.getRcode());
    assertEquals(60, none.getSection(Section.AUTHORITY).get(0).getTTL());
    Message cut = ask("many", Type.TXT);
    assertTrue(cut.getHeader().getFlag(Flags.TC));
    byte[] question = DnsTestClient.question("many", Type.TXT, 512).toWire();
    assertTrue(DnsTestClient.sendUdp(server, question, 5000).length <= 512);
    assertEquals(60, DnsTestClient.sendTcp(server, question).getSection(Section.ANSWER).size());
    assertEquals(
        List.of("alias.example.org. CNAME till.example.org."),
        data(ask("alias", Type.ANY), Section.ANSWER));
  }

  /**
   * Whoever shows the cookie that it was given gets large answers over UDP; a made-up one is worth
   * nothing.
   */
  @Test
  void aCookieProvesWhoAsks() throws IOException {
    start(", unproven_bytes = 512, udp_bytes = 4096");
    byte[] cookie = {1, 2, 3, 4, 5, 6, 7, 8};
    for (int i = 0; i < 4; i++) {
      Message question = new Message();
      question.addRecord(
          Record.newRecord(DnsTestClient.name("many"), Type.TXT, DClass.IN), Section.QUESTION);
      question.addRecord(
          new org.xbill.DNS.OPTRecord(
              4096, 0, 0, 0, new org.xbill.DNS.GenericEDNSOption(10, cookie)),
          Section.ADDITIONAL);
      Message answer = DnsTestClient.sendUdp(server, question);
      boolean proven = i == 1 || i == 2;
      assertEquals(!proven, answer.getHeader().getFlag(Flags.TC), "question " + i);
      assertEquals(proven ? 60 : 0, answer.getSection(Section.ANSWER).size());
      cookie =
          ((org.xbill.DNS.CookieOption) answer.getOPT().getOptions().get(0))
                  .getServerCookie()
                  .isPresent()
              ? answer.getOPT().getOptions(10).get(0).toWire()
              : cookie;
      cookie = Arrays.copyOfRange(cookie, 4, cookie.length);
      assertEquals(24, cookie.length);
      cookie[23] ^= (byte) (i == 2 ? 1 : 0);
    }
  }

  @Test
  void refusesWhatItDoesNotDo() throws IOException {
    start("");
    Message elsewhere = ask("www.example.net.", Type.A);
    assertEquals(Rcode.REFUSED, elsewhere.getRcode());
    assertEquals(
        20, ((ExtendedErrorCodeOption) elsewhere.getOPT().getOptions().get(0)).getErrorCode());
    assertEquals(Rcode.REFUSED, ask("@", Type.AXFR).getRcode());
    Message chaos = new Message();
    chaos.addRecord(
        Record.newRecord(DnsTestClient.name("@"), Type.TXT, DClass.CH), Section.QUESTION);
    assertEquals(Rcode.REFUSED, DnsTestClient.sendUdp(server, chaos).getRcode());
    Message notify = DnsTestClient.question("@", Type.SOA, 512);
    notify.getHeader().setOpcode(Opcode.NOTIFY);
    assertEquals(Rcode.NOTIMP, DnsTestClient.sendUdp(server, notify).getRcode());
    byte[] two = DnsTestClient.question("@", Type.SOA, 512).toWire();
    two[5] = 2;
    assertEquals(Rcode.FORMERR, new Message(DnsTestClient.sendUdp(server, two, 5000)).getRcode());
    Message version = DnsTestClient.question("@", Type.SOA, 512);
    version.addRecord(new org.xbill.DNS.OPTRecord(1232, 0, 1), Section.ADDITIONAL);
    assertEquals(Rcode.BADVERS, DnsTestClient.sendUdp(server, version).getRcode());
  }

  /** A name that points to itself, in each place where a message can have one. */
  @Test
  void compressionLoopsHoldNobodyUp() throws IOException {
    start("", "till-key");
    for (int place = 0; place < 3; place++) {
      byte[] loop =
          DnsTestClient.signed(
              DnsTestClient.update("a", "10.0.0.9", true), DnsTestClient.key("till-key"));
      int at = place == 0 ? 12 : place == 1 ? 29 : loop.length - 60;
      loop[at] = (byte) 0xc0;
      loop[at + 1] = (byte) at;
      byte[] answer = DnsTestClient.sendUdp(server, loop, 5000);
      assertNotNull(answer);
      assertTrue((answer[3] & 15) != 0, () -> Arrays.toString(answer));
    }
    assertEquals(1, ask("till", Type.A).getSection(Section.ANSWER).size());
  }

  /** Who may not update, and why; none of it changes anything. */
  @Test
  void refusesUpdatesThatMayNotBe() throws Exception {
    start("", "till-key");
    Update unsigned = DnsTestClient.update("a", "10.0.0.9", true);
    assertEquals(Rcode.REFUSED, DnsTestClient.sendUdp(server, unsigned).getRcode());
    byte[] unknown =
        DnsTestClient.signed(
            DnsTestClient.update("a", "10.0.0.9", true), DnsTestClient.key("other-key"));
    Message badKey = DnsTestClient.sendTcp(server, unknown);
    assertEquals(Rcode.NOTAUTH, badKey.getRcode());
    assertEquals(Rcode.BADKEY, badKey.getTSIG().getError());
    TSIG forged = new TSIG(TSIG.HMAC_SHA256, DnsTestClient.name("till-key."), new byte[32]);
    Message badSignature =
        DnsTestClient.sendTcp(
            server, DnsTestClient.signed(DnsTestClient.update("a", "10.0.0.9", true), forged));
    assertEquals(Rcode.NOTAUTH, badSignature.getRcode());
    assertEquals(Rcode.BADSIG, badSignature.getTSIG().getError());
    TSIG late =
        new TSIG(
            TSIG.HMAC_SHA256,
            DnsTestClient.name("till-key."),
            new javax.crypto.spec.SecretKeySpec(
                Arrays.copyOf("till-key".getBytes(StandardCharsets.UTF_8), 32), "HmacSHA256"),
            Clock.offset(Clock.systemUTC(), Duration.ofSeconds(-400)));
    Message badTime =
        DnsTestClient.sendTcp(
            server, DnsTestClient.signed(DnsTestClient.update("a", "10.0.0.9", true), late));
    assertEquals(Rcode.NOTAUTH, badTime.getRcode());
    assertEquals(Rcode.BADTIME, badTime.getTSIG().getError());
    Update wrongType = new Update(DnsTestClient.ZONE);
    wrongType.add(DnsTestClient.name("a"), Type.MX, 60, "10 till");
    assertEquals(Rcode.REFUSED, update(wrongType, "till-key"));
    Update apex = new Update(DnsTestClient.ZONE);
    apex.delete(DnsTestClient.ZONE, Type.NS);
    assertEquals(Rcode.REFUSED, update(apex, "till-key"));
    Update other = new Update(DnsTestClient.name("example.net."));
    other.add(DnsTestClient.name("a.example.net."), Type.A, 60, "10.0.0.9");
    assertEquals(Rcode.NOTAUTH, update(other, "till-key"));
    Update outside = new Update(DnsTestClient.ZONE);
    outside.add(DnsTestClient.name("a.example.net."), Type.A, 60, "10.0.0.9");
    assertEquals(Rcode.NOTZONE, update(outside, "till-key"));
    Update unmet = DnsTestClient.update("a", "10.0.0.9", true);
    unmet.present(DnsTestClient.name("b"));
    assertEquals(Rcode.NXDOMAIN, update(unmet, "till-key"));
    assertEquals(Rcode.NXDOMAIN, ask("a", Type.A).getRcode());
    assertEquals("10", data(ask("@", Type.SOA), Section.ANSWER).get(0).split(" ")[4]);
  }

  /**
   * The answer was lost and the same bytes come again: before and after a restart, and after the
   * record is gone.
   */
  @Test
  void aRepeatChangesNothingAlsoAfterARestart() throws Exception {
    start("", "till-key");
    byte[] add =
        DnsTestClient.signed(
            DnsTestClient.update("a", "10.0.0.9", true), DnsTestClient.key("till-key"));
    assertEquals(Rcode.NOERROR, DnsTestClient.sendTcp(server, add).getRcode());
    assertEquals(1, ask("a", Type.A).getSection(Section.ANSWER).size());
    assertEquals(Rcode.NOERROR, update(DnsTestClient.update("a", "10.0.0.9", false), "till-key"));
    for (int life = 0; life < 2; life++) {
      assertEquals(Rcode.NOERROR, DnsTestClient.sendTcp(server, add).getRcode());
      assertEquals(Rcode.NXDOMAIN, ask("a", Type.A).getRcode());
      assertEquals("12", data(ask("@", Type.SOA), Section.ANSWER).get(0).split(" ")[4]);
      stop();
      start(folder.resolve("site.star"));
    }
  }

  /**
   * Two keys hold while updates flow, then the older one is taken away: no update of a valid key is
   * refused.
   */
  @Test
  void aKeyIsChangedWhileUpdatesFlow() throws Exception {
    start("", "old-key");
    AtomicBoolean newKey = new AtomicBoolean();
    AtomicBoolean done = new AtomicBoolean();
    List<Integer> codes = Collections.synchronizedList(new ArrayList<>());
    Thread updater =
        new Thread(
            () -> {
              for (int i = 0; !done.get(); i++) {
                try {
                  codes.add(
                      update(
                          DnsTestClient.update("k" + i % 50, "10.3.0." + i % 250, true),
                          newKey.get() ? "new-key" : "old-key"));
                } catch (IOException broken) {
                  codes.add(-1);
                }
              }
            });
    updater.start();
    reload("old-key", "new-key");
    newKey.set(true);
    int at = codes.size();
    await(() -> codes.size() > at + 3); // what was signed by the old key is answered
    reload("new-key");
    int after = codes.size();
    await(() -> codes.size() > after + 3);
    done.set(true);
    updater.join();
    assertEquals(Set.of(Rcode.NOERROR), new HashSet<>(codes));
    byte[] old =
        DnsTestClient.signed(
            DnsTestClient.update("a", "10.0.0.9", true), DnsTestClient.key("old-key"));
    assertEquals(Rcode.BADKEY, DnsTestClient.sendTcp(server, old).getTSIG().getError());
  }

  private interface Condition {
    boolean holds();
  }

  private static void await(Condition condition) throws InterruptedException {
    for (int i = 0; !condition.holds(); i++) {
      assertTrue(i < 2000, "it never came");
      Thread.sleep(5); // a poll, not a wait for something to have happened
    }
  }

  private void reload(String... keys) throws Exception {
    DnsTestClient.writeSite(folder, "", ZONE, keys);
    long before = List.copyOf(lines).stream().filter(one -> one.startsWith("dns-reload ")).count();
    service.reload();
    await(
        () ->
            List.copyOf(lines).stream().filter(one -> one.startsWith("dns-reload ")).count()
                > before);
  }

  @Test
  void aFaultyReloadChangesNothing() throws Exception {
    start("", "till-key");
    Files.writeString(folder.resolve("site.star"), "dns(listen = 5)");
    service.reload();
    await(() -> List.copyOf(lines).stream().anyMatch(one -> one.startsWith("reload-failed ")));
    DnsTestClient.writeSite(folder, "", "@ NS nowhere\n", "till-key");
    service.reload();
    await(() -> List.copyOf(lines).stream().anyMatch(one -> one.startsWith("zone-reload-failed ")));
    assertEquals(1, ask("till", Type.A).getSection(Section.ANSWER).size());
    DnsTestClient.writeZone(folder, ZONE.replace("10.1.0.1", "10.1.0.2") + "bad A 300.0.0.1\n");
    service.reload();
    await(
        () ->
            List.copyOf(lines).stream()
                .anyMatch(
                    one -> one.contains("changes=") && one.contains("health=refused-records")));
    assertEquals(
        List.of("till.example.org. A 10.1.0.2"), data(ask("till", Type.A), Section.ANSWER));
  }

  /**
   * Random and mutated packets: none kills or hangs the server, and nobody gets more than was sent.
   */
  @Test
  void survivesGarbage() throws IOException {
    start(", unproven_bytes = 0", "till-key");
    Random random = new Random(7);
    byte[][] good = {
      DnsTestClient.question("till", Type.A, 1232).toWire(),
      DnsTestClient.question("many", Type.TXT, 512).toWire(),
      DnsTestClient.signed(
          DnsTestClient.update("a", "10.0.0.9", true), DnsTestClient.key("till-key"))
    };
    int answered = 0;
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(1);
      for (int i = 0; i < 10_000; i++) {
        byte[] packet = good[random.nextInt(good.length)].clone();
        if (i % 4 == 0) {
          packet = new byte[random.nextInt(300)];
          random.nextBytes(packet);
        } else {
          packet =
              Arrays.copyOf(
                  packet,
                  packet.length - (random.nextInt(4) == 0 ? random.nextInt(packet.length) : 0));
          for (int k = random.nextInt(4); k >= 0 && packet.length > 0; k--) {
            packet[random.nextInt(packet.length)] = (byte) random.nextInt();
          }
        }
        packet = tagged(packet, i);
        socket.send(new DatagramPacket(packet, packet.length, server));
        answered += i % 16 == 15 ? drained(socket) : 0;
      }
      socket.setSoTimeout(200);
      answered += drained(socket);
    }
    assertTrue(answered > 1000);
    assertTrue(
        ask("till", Type.A)
            .getHeader()
            .getFlag(Flags.TC)); // the address would not fit into what was asked
    assertEquals(1, DnsTestClient.sendTcp(server, good[0]).getSection(Section.ANSWER).size());
    assertEquals(Rcode.NXDOMAIN, ask("a", Type.A).getRcode());
  }

  private final byte[][] sent = new byte[65_536][];

  /** Gives a packet an id by which its answer is known. */
  private byte[] tagged(byte[] packet, int id) {
    if (packet.length >= 2) {
      packet[0] = (byte) (id >> 8);
      packet[1] = (byte) id;
      sent[id] = packet;
    }
    return packet;
  }

  private int drained(DatagramSocket socket) throws IOException {
    int count = 0;
    DatagramPacket answer = new DatagramPacket(new byte[65_535], 65_535);
    while (true) {
      try {
        answer.setLength(65_535);
        socket.receive(answer);
      } catch (java.net.SocketTimeoutException none) {
        return count;
      }
      count++;
      byte[] data = answer.getData();
      byte[] request = sent[(data[0] & 0xff) << 8 | (data[1] & 0xff)];
      assertTrue(
          answer.getLength() <= request.length,
          () -> answer.getLength() + " for " + request.length);
    }
  }

  @Test
  void connectionsThatDripComeToAnEnd() throws Exception {
    start(", connections = 150");
    List<Socket> dripping = new ArrayList<>();
    byte[] question = DnsTestClient.framed(DnsTestClient.question("till", Type.A, 512).toWire());
    try {
      for (int i = 0; i < 200; i++) {
        Socket one = DnsTestClient.connect(server);
        dripping.add(one);
        one.getOutputStream().write(question, 0, 1 + i % 20);
        if (i % 10 == 0) {
          assertEquals(
              1,
              DnsTestClient.sendTcp(server, Arrays.copyOfRange(question, 2, question.length))
                  .getSection(Section.ANSWER)
                  .size());
        }
      }
      for (Socket one : dripping) {
        assertEquals(-1, one.getInputStream().read()); // closed by the server, in about two seconds
      }
    } finally {
      for (Socket one : dripping) {
        one.close();
      }
    }
    // the line follows the end of the channel, which the client's own close completes
    await(
        () ->
            List.copyOf(lines).stream()
                .anyMatch(
                    one -> one.contains("reason=half-sent") || one.contains("reason=silent")));
  }

  @Test
  void pipelinedQueriesAreAllAnswered() throws IOException {
    start(", pipelined = 8");
    try (Socket socket = DnsTestClient.connect(server)) {
      java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
      Set<Integer> ids = new HashSet<>();
      for (int i = 0; i < 40; i++) {
        Message question = DnsTestClient.question("till", Type.A, 512);
        question.getHeader().setID(i);
        all.write(DnsTestClient.framed(question.toWire()));
        ids.add(i);
      }
      socket.getOutputStream().write(all.toByteArray());
      for (int i = 0; i < 40; i++) {
        Message answer = DnsTestClient.readMessage(socket);
        assertTrue(answer.getRcode() == Rcode.NOERROR || answer.getRcode() == Rcode.REFUSED);
        assertTrue(ids.remove(answer.getHeader().getID()), "answered twice");
      }
    }
  }

  /**
   * By a clock of its own: a bucket of answers for each prefix, then every second one cut, the
   * others dropped.
   */
  @Test
  void limitsAnswersToAPrefix() throws IOException {
    RateLimit limit = new RateLimit(5, 1024);
    for (int second = 1; second < 4; second++) {
      int[] verdicts = new int[RateLimit.Verdict.values().length];
      for (int i = 0; i < 25; i++) {
        verdicts[
            limit
                .answer(
                    InetAddress.getByAddress(new byte[] {127, 1, 2, (byte) i}), second * 1_000_000L)
                .ordinal()]++;
      }
      assertEquals("[5, 10, 10]", Arrays.toString(verdicts));
      assertEquals(
          RateLimit.Verdict.SEND,
          limit.answer(InetAddress.getByAddress(new byte[] {127, 1, 3, 1}), second * 1_000_000L));
    }
  }
}
