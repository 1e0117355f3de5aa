package mothwing.testing;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Base64;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/**
 * Acts as a resolver and an updater against a DNS server, and writes the site folder for the server
 * to serve.
 */
public final class DnsTestClient {
  /** The first records of every zone file: SOA (serial 10), NS, and the address of that server. */
  public static final String ZONE_HEADER =
      "$TTL 300\n@ SOA ns host 10 3600 600 86400 60\n@ NS ns\nns A 10.0.0.1\n";

  /** The name of the zone. */
  public static final Name ZONE = name("example.org.");

  private static final int TIMEOUT_MS = 10_000;

  private DnsTestClient() {}

  /** Parses a name, relative to the zone if it has no trailing dot. */
  public static Name name(String text) {
    try {
      return text.endsWith(".") ? Name.fromString(text) : Name.fromString(text, ZONE);
    } catch (IOException malformed) {
      throw new IllegalArgumentException(malformed);
    }
  }

  private static byte[] secret(String key) {
    return Arrays.copyOf(key.getBytes(StandardCharsets.UTF_8), 32);
  }

  /** Creates a key whose secret is derived from its name. */
  public static TSIG key(String name) {
    return new TSIG(TSIG.HMAC_SHA256, name(name + "."), secret(name));
  }

  /**
   * Writes a site folder: a zone file and settings with the given keys, each of which may update A
   * and TXT records below the zone.
   */
  public static Path writeSite(Path folder, String limits, String zone, String... keys)
      throws IOException {
    StringBuilder script =
        new StringBuilder("dns(listen = '127.0.0.1:0', state = 'state'" + limits + ")\n");
    StringBuilder rights = new StringBuilder();
    for (String key : keys) {
      Files.writeString(
          folder.resolve(key + ".key"), Base64.getEncoder().encodeToString(secret(key)));
      script
          .append("key(name = '")
          .append(key)
          .append("', secret_file = '")
          .append(key)
          .append(".key')\n");
      rights
          .append("allow(key = '")
          .append(key)
          .append("', names = '*.example.org', types = ['A', 'TXT']), ");
    }
    script
        .append("zone(name = 'example.org', file = 'example.zone', updates = [")
        .append(rights)
        .append("])\n");
    writeZone(folder, zone);
    return Files.writeString(folder.resolve("site.star"), script.toString());
  }

  /** Replaces the zone file by a rename, as an editor does, with a modification time 5 s ago. */
  public static void writeZone(Path folder, String zone) throws IOException {
    Path temporary = Files.writeString(folder.resolve("example.zone.new"), zone);
    Files.setLastModifiedTime(
        temporary, java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis() - 5000));
    Files.move(
        temporary,
        folder.resolve("example.zone"),
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  /** Creates a question, with EDNS if the UDP size is over 512 bytes. */
  public static Message question(String name, int type, int udpBytes) {
    Message message = Message.newQuery(Record.newRecord(name(name), type, DClass.IN));
    message.getHeader().unsetFlag(Flags.RD);
    if (udpBytes > 512) {
      message.addRecord(new OPTRecord(udpBytes, 0, 0), Section.ADDITIONAL);
    }
    return message;
  }

  /** Creates an update that adds or deletes one address. */
  public static Update update(String name, String address, boolean add) {
    try {
      Update update = new Update(ZONE);
      if (add) {
        update.add(name(name), Type.A, 60, address);
      } else {
        update.delete(name(name), Type.A, address);
      }
      return update;
    } catch (IOException malformed) {
      throw new IllegalArgumentException(malformed);
    }
  }

  /** Signs a message and encodes it. */
  public static byte[] signed(Message message, TSIG key) {
    message.setTSIG(key, Rcode.NOERROR, null);
    return message.toWire(Message.MAXLENGTH);
  }

  /** Sends bytes over UDP and returns the bytes of the answer, or null after a timeout. */
  public static byte[] sendUdp(InetSocketAddress server, byte[] message, int timeoutMs)
      throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(timeoutMs);
      socket.send(new DatagramPacket(message, message.length, server));
      DatagramPacket answer = new DatagramPacket(new byte[65_535], 65_535);
      socket.receive(answer);
      return Arrays.copyOf(answer.getData(), answer.getLength());
    } catch (java.net.SocketTimeoutException timeout) {
      return null;
    }
  }

  /** Sends a message over UDP and returns the answer. */
  public static Message sendUdp(InetSocketAddress server, Message message) throws IOException {
    byte[] answer = sendUdp(server, message.toWire(Message.MAXLENGTH), TIMEOUT_MS);
    if (answer == null) {
      throw new IOException("no answer over UDP");
    }
    return new Message(answer);
  }

  /** Sends bytes over a new TCP connection and returns the answer. */
  public static Message sendTcp(InetSocketAddress server, byte[] message) throws IOException {
    try (Socket socket = connect(server)) {
      socket.getOutputStream().write(framed(message));
      return readMessage(socket);
    }
  }

  /** Opens a TCP connection with a read timeout of 10 s. */
  public static Socket connect(InetSocketAddress server) throws IOException {
    Socket socket = new Socket();
    socket.setSoTimeout(TIMEOUT_MS);
    socket.connect(server, TIMEOUT_MS);
    return socket;
  }

  /** Prefixes a message with its length, as TCP requires. */
  public static byte[] framed(byte[] message) {
    return ByteBuffer.allocate(message.length + 2)
        .putShort((short) message.length)
        .put(message)
        .array();
  }

  /** Reads one length-prefixed message. */
  public static Message readMessage(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] answer = new byte[in.readUnsignedShort()];
    in.readFully(answer);
    return new Message(answer);
  }
}
