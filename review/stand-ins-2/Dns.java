import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A DNS server of the project with one zone, and a stand-in client: queries and signed updates. */
final class Dns {
  static final String ZONE = "stalls.example";
  static final int A = 1;
  static final int NS = 2;
  static final int CNAME = 5;
  static final int SOA = 6;
  static final int TXT = 16;
  static final int IN = 1;
  static final int ANY = 255;

  private static final byte[] SECRET = "a secret of thirty-two bytes ...".getBytes();

  /** One record of an update. */
  record Line(String owner, int type, int dclass, int ttl, byte[] data) {}

  /** An answer: its code, and the data of its answer section as text. */
  record Answer(int rcode, List<String> records) {}

  final int port;
  final Path zoneFile;
  final Path script;
  private final Random random = new Random();

  Dns(Lab lab, String zoneText) throws IOException {
    port = Lab.freePort();
    zoneFile = lab.temporary.resolve("stalls.zone");
    script = lab.temporary.resolve("site.star");
    Files.writeString(zoneFile, zoneText);
    Files.writeString(
        lab.temporary.resolve("till.key"), Base64.getEncoder().encodeToString(SECRET) + "\n");
    Files.writeString(
        script,
        "dns(listen = \"127.0.0.1:" + port + "\", state = \"state\")\n"
            + "key(name = \"till-key\", algorithm = \"hmac-sha256\", secret_file = \"till.key\")\n"
            + "zone(name = \"" + ZONE + "\", file = \"stalls.zone\", updates = [\n"
            + "    allow(key = \"till-key\", names = \"*." + ZONE
            + "\", types = [\"A\", \"TXT\", \"CNAME\", \"NS\"])])\n");
  }

  static String head(int serial) {
    return "$TTL 300\n@ SOA ns hostmaster " + serial + " 3600 600 86400 60\n@ NS ns\n"
        + "ns A 127.0.0.1\n";
  }

  String command() {
    return "java -jar target/mothwing.jar dns --settings " + script;
  }

  /** Writes the zone file as an editor does, by a rename. */
  void write(String text) throws IOException {
    Path aside = zoneFile.resolveSibling("aside.zone");
    Files.writeString(aside, text);
    Files.move(aside, zoneFile, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
  }

  static void name(ByteArrayOutputStream out, String name) {
    for (String label : name.split("\\.")) {
      if (!label.isEmpty()) {
        out.write(label.length());
        out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
      }
    }
    out.write(0);
  }

  static void u16(ByteArrayOutputStream out, int value) {
    out.write(value >> 8);
    out.write(value);
  }

  static byte[] address(String text) {
    byte[] all = new byte[4];
    String[] parts = text.split("\\.");
    for (int i = 0; i < 4; i++) {
      all[i] = (byte) Integer.parseInt(parts[i]);
    }
    return all;
  }

  /** A signed update (RFC 2136, RFC 8945). */
  byte[] update(Line... lines) throws Exception {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int id = random.nextInt(65536);
    u16(body, id);
    u16(body, 5 << 11);
    u16(body, 1);
    u16(body, 0);
    u16(body, lines.length);
    u16(body, 0);
    name(body, ZONE);
    u16(body, SOA);
    u16(body, IN);
    for (Line line : lines) {
      name(body, line.owner);
      u16(body, line.type);
      u16(body, line.dclass);
      u16(body, line.ttl >> 16);
      u16(body, line.ttl);
      u16(body, line.data.length);
      body.writeBytes(line.data);
    }
    byte[] plain = body.toByteArray();
    long now = System.currentTimeMillis() / 1000;
    ByteArrayOutputStream covered = new ByteArrayOutputStream();
    covered.writeBytes(plain);
    name(covered, "till-key");
    u16(covered, ANY);
    u16(covered, 0);
    u16(covered, 0);
    name(covered, "hmac-sha256");
    time(covered, now);
    u16(covered, 0);
    u16(covered, 0);
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(SECRET, "HmacSHA256"));
    byte[] signature = mac.doFinal(covered.toByteArray());
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    name(data, "hmac-sha256");
    time(data, now);
    u16(data, signature.length);
    data.writeBytes(signature);
    u16(data, id);
    u16(data, 0);
    u16(data, 0);
    ByteArrayOutputStream signed = new ByteArrayOutputStream();
    signed.writeBytes(plain);
    name(signed, "till-key");
    u16(signed, 250);
    u16(signed, ANY);
    u16(signed, 0);
    u16(signed, 0);
    u16(signed, data.size());
    signed.writeBytes(data.toByteArray());
    byte[] all = signed.toByteArray();
    all[11] = 1;
    return all;
  }

  private static void time(ByteArrayOutputStream out, long seconds) {
    u16(out, (int) (seconds >> 32));
    u16(out, (int) (seconds >> 16));
    u16(out, (int) seconds);
    u16(out, 300);
  }

  byte[] question(String name, int type) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    u16(out, random.nextInt(65536));
    u16(out, 0);
    u16(out, 1);
    u16(out, 0);
    u16(out, 0);
    u16(out, 0);
    name(out, name);
    u16(out, type);
    u16(out, IN);
    return out.toByteArray();
  }

  /** Sends a message over TCP; null without an answer in this time. */
  Answer ask(byte[] message, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      ByteArrayOutputStream framed = new ByteArrayOutputStream();
      u16(framed, message.length);
      framed.writeBytes(message);
      socket.getOutputStream().write(framed.toByteArray());
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] answer = new byte[in.readUnsignedShort()];
      in.readFully(answer);
      return parse(answer);
    } catch (IOException e) {
      return null;
    }
  }

  /** Sends a message over UDP; null without an answer in this time. */
  Answer askUdp(byte[] message, int timeoutMs) {
    try (DatagramSocket socket = new DatagramSocket(0, Lab.LOOPBACK)) {
      socket.setSoTimeout(timeoutMs);
      socket.send(new DatagramPacket(message, message.length, Lab.LOOPBACK, port));
      byte[] buffer = new byte[4096];
      DatagramPacket answer = new DatagramPacket(buffer, buffer.length);
      socket.receive(answer);
      return parse(java.util.Arrays.copyOf(buffer, answer.getLength()));
    } catch (IOException e) {
      return null;
    }
  }

  /** Sends a message over UDP and does not wait for an answer. */
  void send(byte[] message) throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, Lab.LOOPBACK)) {
      socket.send(new DatagramPacket(message, message.length, Lab.LOOPBACK, port));
    }
  }

  private static int skip(byte[] in, int at) {
    int i = at;
    while (in[i] != 0) {
      if ((in[i] & 0xc0) == 0xc0) {
        return i + 2;
      }
      i += in[i] + 1;
    }
    return i + 1;
  }

  private static Answer parse(byte[] in) {
    List<String> records = new ArrayList<>();
    int questions = in[4] << 8 | in[5] & 0xff;
    int answers = (in[6] & 0xff) << 8 | in[7] & 0xff;
    int opcode = in[2] >> 3 & 15;
    int at = 12;
    for (int i = 0; i < questions; i++) {
      at = skip(in, at) + 4;
    }
    for (int i = 0; opcode == 0 && i < answers; i++) {
      at = skip(in, at);
      int type = (in[at] & 0xff) << 8 | in[at + 1] & 0xff;
      int length = (in[at + 8] & 0xff) << 8 | in[at + 9] & 0xff;
      StringBuilder text = new StringBuilder("type " + type + " ");
      for (int k = 0; k < length; k++) {
        text.append(k == 0 ? "" : ".").append(in[at + 10 + k] & 0xff);
      }
      records.add(text.toString());
      at += 10 + length;
    }
    return new Answer(in[3] & 15, records);
  }

  /** Waits until the server answers for its zone. */
  boolean awaitServing(Lab lab, long ms) {
    long end = lab.now() + ms;
    while (lab.now() < end) {
      Answer answer = ask(question(ZONE, SOA), 1000);
      if (answer != null && answer.rcode == 0) {
        return true;
      }
      Lab.sleep(50);
    }
    return false;
  }
}
