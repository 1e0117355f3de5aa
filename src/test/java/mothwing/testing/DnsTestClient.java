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
 * A stand-in for what talks to a DNS server: resolvers and updaters; and the folder of a site for
 * it to serve.
 */
public final class DnsTestClient {
  /** The start of every zone file: its SOA (serial 10), its NS and that server's address. */
  public static final String ZONE_HEADER =
      "$TTL 300\n@ SOA ns host 10 3600 600 86400 60\n@ NS ns\nns A 10.0.0.1\n";

  /** The zone's name. */
  public static final Name ZONE = name("example.org.");

  private static final int PATIENCE_MS = 10_000;

  private DnsTestClient() {}

  /** A name, completed by the zone where it has no last dot. */
  public static Name name(String text) {
    try {
      return text.endsWith(".") ? Name.fromString(text) : Name.fromString(text, ZONE);
    } catch (IOException bad) {
      throw new IllegalArgumentException(bad);
    }
  }

  private static byte[] secret(String key) {
    return Arrays.copyOf(key.getBytes(StandardCharsets.UTF_8), 32);
  }

  /** A key whose secret follows from its name. */
  public static TSIG key(String name) {
    return new TSIG(TSIG.HMAC_SHA256, name(name + "."), secret(name));
  }

  /**
   * Writes a site's folder: settings with some keys, each with the right to A and TXT below the
   * zone, and a zone.
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

  /** Writes the zone file as an editor does that wrote it a while ago. */
  public static void writeZone(Path folder, String zone) throws IOException {
    Path aside = Files.writeString(folder.resolve("example.zone.new"), zone);
    Files.setLastModifiedTime(
        aside, java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis() - 5000));
    Files.move(
        aside, folder.resolve("example.zone"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  /** A question, with EDNS where a size over 512 is given. */
  public static Message question(String name, int type, int size) {
    Message message = Message.newQuery(Record.newRecord(name(name), type, DClass.IN));
    message.getHeader().unsetFlag(Flags.RD);
    if (size > 512) {
      message.addRecord(new OPTRecord(size, 0, 0), Section.ADDITIONAL);
    }
    return message;
  }

  /** An update that adds or takes away one address. */
  public static Update update(String name, String address, boolean add) {
    try {
      Update update = new Update(ZONE);
      if (add) {
        update.add(name(name), Type.A, 60, address);
      } else {
        update.delete(name(name), Type.A, address);
      }
      return update;
    } catch (IOException bad) {
      throw new IllegalArgumentException(bad);
    }
  }

  /** The bytes of a message, signed. */
  public static byte[] signed(Message message, TSIG key) {
    message.setTSIG(key, Rcode.NOERROR, null);
    return message.toWire(Message.MAXLENGTH);
  }

  /** Sends over UDP and waits for the answer's bytes; null where none comes in time. */
  public static byte[] sendUdp(InetSocketAddress server, byte[] message, int waitMs)
      throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(waitMs);
      socket.send(new DatagramPacket(message, message.length, server));
      DatagramPacket answer = new DatagramPacket(new byte[65_535], 65_535);
      socket.receive(answer);
      return Arrays.copyOf(answer.getData(), answer.getLength());
    } catch (java.net.SocketTimeoutException none) {
      return null;
    }
  }

  /** Asks over UDP. */
  public static Message sendUdp(InetSocketAddress server, Message message) throws IOException {
    byte[] answer = sendUdp(server, message.toWire(Message.MAXLENGTH), PATIENCE_MS);
    if (answer == null) {
      throw new IOException("no answer");
    }
    return new Message(answer);
  }

  /** Sends bytes over a connection of its own and reads the answer. */
  public static Message sendTcp(InetSocketAddress server, byte[] message) throws IOException {
    try (Socket socket = connect(server)) {
      socket.getOutputStream().write(framed(message));
      return readMessage(socket);
    }
  }

  /** Opens a connection. */
  public static Socket connect(InetSocketAddress server) throws IOException {
    Socket socket = new Socket();
    socket.setSoTimeout(PATIENCE_MS);
    socket.connect(server, PATIENCE_MS);
    return socket;
  }

  /** A message behind its length. */
  public static byte[] framed(byte[] message) {
    return ByteBuffer.allocate(message.length + 2)
        .putShort((short) message.length)
        .put(message)
        .array();
  }

  /** Reads one message. */
  public static Message readMessage(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] answer = new byte[in.readUnsignedShort()];
    in.readFully(answer);
    return new Message(answer);
  }
}
