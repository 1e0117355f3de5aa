package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import mothwing.server.DnsService;
import mothwing.store.Disk;
import mothwing.store.Journal;
import mothwing.testing.DnsTestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/** Checks the bytes that the DNS server answers over its sockets against recordings. */
class DnsAnswerTest {
  private static final int ID = 0x1234;
  private static final int RECURSION_DESIRED = 0x0100;
  private static final int TIMEOUT_MS = 10_000;
  private static final String EDNS_1232 = "000029 04d0 00000000 0000";
  private static final String EDNS_4096 = "000029 1000 00000000 0000";
  private static final String CLIENT_COOKIE = "0102030405060708";

  /** The last bytes of a server cookie, its time and hash, which differ from run to run. */
  private static final int COOKIE_TIME_AND_HASH_BYTES = 12;

  private static final int MAC_BYTES = 32;

  /** The bytes of a TSIG record after the MAC: original id, error and length of other data. */
  private static final int BYTES_AFTER_MAC = 6;

  /** The bytes of a TSIG record from the time signed to the MAC: time, fudge and MAC size. */
  private static final int BYTES_BEFORE_MAC = 10;

  private static final int TIME_SIGNED_BYTES = 6;

  @TempDir private Path folder;
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private DnsService service;
  private InetSocketAddress server;

  private void start(String zone, String limits) throws IOException {
    String text = new String(DnsStoredZoneTest.zoneFile(zone), StandardCharsets.US_ASCII);
    service = new DnsService(DnsTestClient.writeSite(folder, limits, text, "till-key"), lines::add);
    service.start();
    server = service.address();
  }

  @AfterEach
  void stop() throws InterruptedException {
    if (service != null) {
      service.drain();
      service.await();
      service.close();
      service = null;
    }
  }

  private static byte[] question(String name, int type, int dclass, String additional)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeShort(ID);
    out.writeShort(RECURSION_DESIRED);
    out.writeShort(1);
    out.writeInt(0);
    out.writeShort(additional.isEmpty() ? 0 : 1);
    for (String label : name.split("\\.")) {
      out.writeByte(label.length());
      out.writeBytes(label);
    }
    out.writeByte(0);
    out.writeShort(type);
    out.writeShort(dclass);
    out.write(HexFormat.of().parseHex(additional.replace(" ", "")));
    return bytes.toByteArray();
  }

  private byte[] ask(String name, int type, String additional) throws IOException {
    return DnsTestClient.sendUdp(server, question(name, type, 1, additional), TIMEOUT_MS);
  }

  /** Asks twice, since the second answer may come from the cache. */
  private void assertAnswer(String recorded, String name, int type, String additional)
      throws IOException {
    for (int i = 0; i < 2; i++) {
      HexFile.assertRecorded("dns/answer/" + recorded, ask(name, type, additional));
    }
  }

  private byte[] tcp(byte[] message) throws IOException {
    try (Socket socket = DnsTestClient.connect(server)) {
      socket.getOutputStream().write(DnsTestClient.framed(message));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] answer = new byte[in.readUnsignedShort()];
      in.readFully(answer);
      return answer;
    }
  }

  @Test
  void answersFromTheZone() throws IOException {
    start("first.zone", ", unproven_bytes = 1232");
    assertAnswer("soa", "example.org", Type.SOA, "");
    assertAnswer("ns", "example.org", Type.NS, EDNS_1232);
    assertAnswer("mx", "example.org", Type.MX, "");
    assertAnswer("a", "tILL.example.org", Type.A, "");
    assertAnswer("aaaa", "till.example.org", Type.AAAA, EDNS_1232);
    assertAnswer("txt", "till.example.org", Type.TXT, "");
    assertAnswer("srv", "_http._tcp.example.org", Type.SRV, "");
    assertAnswer("caa", "caa.example.org", Type.CAA, "");
    assertAnswer("any", "till.example.org", Type.ANY, "");
    assertAnswer("cname", "alias.example.org", Type.CNAME, "");
    assertAnswer("cname-chain", "chain.example.org", Type.A, "");
    assertAnswer("cname-away", "away.example.org", Type.A, "");
    assertAnswer("wildcard", "some.name.wild.example.org", Type.A, "");
    assertAnswer("delegation", "www.shop.example.org", Type.A, "");
  }

  @Test
  void answersNegatively() throws IOException {
    start("first.zone", ", unproven_bytes = 1232");
    assertAnswer("nxdomain", "none.example.org", Type.A, "");
    assertAnswer("nxdomain-edns", "none.example.org", Type.A, EDNS_1232);
    assertAnswer("no-data", "till.example.org", Type.MX, "");
    assertAnswer("no-data-between", "below.example.org", Type.A, "");
    assertAnswer("alias-no-data", "alias.example.org", Type.MX, "");
  }

  @Test
  void truncatesAnswersThatExceedTheLimit() throws IOException {
    start("first.zone", ", unproven_bytes = 1232");
    assertAnswer("truncated", "many.example.org", Type.TXT, "");
    assertAnswer("truncated-edns", "many.example.org", Type.TXT, EDNS_1232);
    HexFile.assertRecorded(
        "dns/answer/whole-over-tcp", tcp(question("many.example.org", Type.TXT, 1, "")));
  }

  @Test
  void truncatesAnswersToUnverifiedClients() throws IOException {
    start("first.zone", ", unproven_bytes = 0");
    assertAnswer("unproven", "till.example.org", Type.A, "");
    assertAnswer("unproven-edns", "till.example.org", Type.AAAA, EDNS_4096);
  }

  private static String cookie(byte[] cookie) {
    String length = String.format("%04x", cookie.length);
    String optionsLength = String.format("%04x", cookie.length + 4);
    return "000029 1000 00000000 "
        + optionsLength
        + " 000a"
        + length
        + HexFormat.of().formatHex(cookie);
  }

  @Test
  void issuesAndVerifiesCookies() throws IOException {
    start("first.zone", ", unproven_bytes = 512, udp_bytes = 4096");
    byte[] client = HexFormat.of().parseHex(CLIENT_COOKIE);
    byte[] unverified = ask("many.example.org", Type.TXT, cookie(client));
    byte[] issued = Arrays.copyOfRange(unverified, unverified.length - 24, unverified.length);
    HexFile.assertRecorded("dns/answer/cookie-given", withoutCookie(unverified));
    byte[] verified = ask("many.example.org", Type.TXT, cookie(issued));
    HexFile.assertRecorded("dns/answer/cookie-proven", withoutCookie(verified));
    issued[23] ^= 1;
    byte[] forged = ask("many.example.org", Type.TXT, cookie(issued));
    HexFile.assertRecorded("dns/answer/cookie-given", withoutCookie(forged));
    byte[] malformed = ask("many.example.org", Type.TXT, cookie(new byte[9]));
    HexFile.assertRecorded("dns/answer/cookie-malformed", malformed);
  }

  private static byte[] withoutCookie(byte[] answer) {
    byte[] changed = answer.clone();
    Arrays.fill(changed, changed.length - COOKIE_TIME_AND_HASH_BYTES, changed.length, (byte) 0);
    return changed;
  }

  @Test
  void rejectsUnsupportedQueries() throws IOException {
    start("first.zone", ", unproven_bytes = 1232");
    assertAnswer("refused-zone", "www.example.net", Type.A, "");
    assertAnswer("refused-zone-edns", "www.example.net", Type.A, EDNS_1232);
    assertAnswer("refused-transfer", "example.org", Type.AXFR, EDNS_1232);
    assertAnswer("bad-version", "example.org", Type.SOA, "000029 04d0 00010000 0000");
    byte[] chaos = question("example.org", Type.TXT, 3, EDNS_1232);
    HexFile.assertRecorded(
        "dns/answer/refused-class", DnsTestClient.sendUdp(server, chaos, TIMEOUT_MS));
    byte[] notify = question("example.org", Type.SOA, 1, "");
    notify[2] = 0x20;
    HexFile.assertRecorded(
        "dns/answer/not-implemented", DnsTestClient.sendUdp(server, notify, TIMEOUT_MS));
    byte[] twoQuestions = question("example.org", Type.SOA, 1, "");
    twoQuestions[5] = 2;
    HexFile.assertRecorded(
        "dns/answer/format-error", DnsTestClient.sendUdp(server, twoQuestions, TIMEOUT_MS));
  }

  /** Clears the time and the MAC of the signature, which differ from run to run. */
  private static byte[] withoutSignature(byte[] answer, int macBytes) {
    byte[] changed = answer.clone();
    int macAt = changed.length - BYTES_AFTER_MAC - macBytes;
    Arrays.fill(changed, macAt, macAt + macBytes, (byte) 0);
    Arrays.fill(
        changed, macAt - BYTES_BEFORE_MAC, macAt - BYTES_BEFORE_MAC + TIME_SIGNED_BYTES, (byte) 0);
    return changed;
  }

  private void assertUpdate(String recorded, Update update, String key, int macBytes)
      throws IOException {
    update.getHeader().setID(ID);
    byte[] answer = tcp(DnsTestClient.signed(update, DnsTestClient.key(key)));
    HexFile.assertRecorded("dns/answer/" + recorded, withoutSignature(answer, macBytes));
  }

  @Test
  void appliesUpdatesAndStoresRecordedRecords() throws Exception {
    start("first.zone", ", unproven_bytes = 1232");
    assertUpdate("update", DnsTestClient.update("new", "10.9.0.1", true), "till-key", MAC_BYTES);
    assertAnswer("updated", "new.example.org", Type.A, "");
    assertAnswer("updated-soa", "example.org", Type.SOA, "");
    assertUpdate("update", DnsTestClient.update("till", "10.1.0.2", false), "till-key", MAC_BYTES);
    Update wrongType = new Update(DnsTestClient.ZONE);
    wrongType.add(DnsTestClient.name("a"), Type.MX, 60, "10 till");
    assertUpdate("update-refused", wrongType, "till-key", MAC_BYTES);
    assertUpdate("update-bad-key", DnsTestClient.update("a", "10.9.0.1", true), "other-key", 0);
    Update unsigned = DnsTestClient.update("a", "10.9.0.1", true);
    unsigned.getHeader().setID(ID);
    HexFile.assertRecorded(
        "dns/answer/update-unsigned",
        DnsTestClient.sendUdp(server, unsigned.toWire(Message.MAXLENGTH), TIMEOUT_MS));
    stop();
    List<byte[]> records = journalRecords();
    assertEquals(2, records.size());
    HexFile.assertRecorded("dns/record/update-adds", withoutUpdateId(records.get(0)));
    HexFile.assertRecorded("dns/record/update-deletes", withoutUpdateId(records.get(1)));
    HexFile.assertRecorded(
        "dns/zone/" + DnsStoredZoneTest.FIRST_SNAPSHOT,
        Files.readAllBytes(state().resolve(DnsStoredZoneTest.FIRST_SNAPSHOT)));
  }

  private Path state() {
    return folder.resolve("state").resolve("example.org");
  }

  private List<byte[]> journalRecords() throws IOException {
    List<byte[]> records = new ArrayList<>();
    Journal.Replay replay =
        new Journal.Replay() {
          @Override
          public void snapshot(byte[] part) {
            assertTrue(part.length > 0);
          }

          @Override
          public void record(byte[] record) {
            records.add(record);
          }
        };
    Journal.open(Disk.of(state()), replay, lines::add).close();
    return records;
  }

  /** Clears the MAC and the time that identify a repeated update, which differ from run to run. */
  private static byte[] withoutUpdateId(byte[] record) {
    byte[] changed = record.clone();
    int macAt = 2 + changed[1] + 4;
    Arrays.fill(changed, macAt, macAt + MAC_BYTES + Long.BYTES, (byte) 0);
    return changed;
  }

  /** Guards against a server that cannot read the state of an earlier version. */
  @Test
  void servesRecordedState() throws IOException {
    Files.createDirectories(state());
    for (String file : List.of(DnsStoredZoneTest.FIRST_LOG, DnsStoredZoneTest.FIRST_SNAPSHOT)) {
      Files.write(state().resolve(file), HexFile.read("dns/zone/" + file));
    }
    start("second.zone", ", unproven_bytes = 1232");
    assertAnswer("restored-soa", "example.org", Type.SOA, "");
    assertAnswer("restored-updated", "new.example.org", Type.ANY, "");
    assertAnswer("restored-both", "both.example.org", Type.A, "");
    assertAnswer("restored-deleted", "till.example.org", Type.A, "");
    assertEquals(Rcode.NXDOMAIN, ask("gone.example.org", Type.A, "")[3] & 15);
    assertTrue(
        lines.contains(
            "zone-open zone=example.org. serial=13 records=53 repeats=0 health=good refused=0"),
        lines::toString);
  }
}
