package mothwing.cli;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import mothwing.settings.Addresses;
import mothwing.settings.InvalidInputException;
import mothwing.settings.Secret;
import mothwing.settings.Site;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/**
 * Sends dynamic updates that are written a line each, in the manner of nsupdate. An update whose
 * answer does not come is sent again as it was, byte for byte: a server that took it gives the
 * first answer and changes nothing.
 */
final class ZoneUpdate {
  private static final int TRIES = 3;
  private static final int PATIENCE_MS = 6000;
  private static final int UDP_PAYLOAD = 1232;
  private static final String HELP =
      "expected: prereq yxdomain|nxdomain NAME, prereq yxrrset|nxrrset NAME TYPE [DATA],"
          + " update add NAME TTL TYPE DATA, update delete NAME [TYPE [DATA]], show, send";

  private final InetSocketAddress server;
  private final Name zone;
  private final TSIG tsig;
  private final PrintStream out;
  private Update update;
  private int lines;

  private ZoneUpdate(InetSocketAddress server, Name zone, TSIG tsig, PrintStream out) {
    this.server = server;
    this.zone = zone;
    this.tsig = tsig;
    this.out = out;
    this.update = new Update(zone);
  }

  /** Ends with 1 where the server refused an update. */
  static int run(String server, String zone, String key, InputStream in, PrintStream out)
      throws IOException {
    String[] parts = key.split(":", 3);
    if (parts.length < 2) {
      throw new InvalidInputException("--key is NAME:FILE, or ALGORITHM:NAME:FILE");
    }
    int name = parts.length - 2;
    Site.Key read =
        new Site.Key(
            parts[name], parts.length == 3 ? parts[0] : "hmac-sha256", Path.of(parts[name + 1]));
    TSIG tsig =
        new TSIG(TSIG.algorithmToName(read.algorithm()), absolute(read.name()), Secret.read(read));
    return new ZoneUpdate(Addresses.parse(server, "server"), absolute(zone), tsig, out).lines(in);
  }

  private static Name absolute(String text) throws IOException {
    return Name.fromString(text, Name.root);
  }

  private int lines(InputStream in) throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    int status = 0;
    int number = 0;
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      number++;
      String text = line.strip();
      try {
        if (text.equals("send")) {
          status = Math.max(status, send());
        } else if (text.equals("show")) {
          out.print(update);
        } else if (!text.isEmpty() && !text.startsWith(";")) {
          line(text.split("\\s+", 5), text);
          lines++;
        }
      } catch (TextParseException | IllegalArgumentException | InvalidInputException bad) {
        throw new InvalidInputException("line " + number + ": " + bad.getMessage());
      }
    }
    return lines > 0 ? Math.max(status, send()) : status;
  }

  private static int type(String word) throws InvalidInputException {
    int type = Type.value(word);
    if (type < 0) {
      throw new InvalidInputException("unknown type " + word);
    }
    return type;
  }

  /** The last words of a line from one on. */
  private static String rest(String text, int from) {
    String[] parts = text.split("\\s+", from + 1);
    return parts.length > from ? parts[from] : "";
  }

  private void line(String[] words, String text) throws IOException {
    String what = (words[0] + " " + (words.length > 1 ? words[1] : "")).toLowerCase(Locale.ROOT);
    if (words.length < 3) {
      throw new InvalidInputException(HELP);
    }
    Name name = Name.fromString(words[2], zone);
    String type = words.length > 3 ? words[3] : "";
    String data = rest(text, 4);
    switch (what) {
      case "prereq yxdomain" -> update.present(name);
      case "prereq nxdomain" -> update.absent(name);
      case "prereq nxrrset" -> update.absent(name, type(type));
      case "prereq yxrrset" -> {
        if (data.isEmpty()) {
          update.present(name, type(type));
        } else {
          update.present(name, type(type), data);
        }
      }
      case "update add" -> {
        if (words.length < 5 || !type.matches("[0-9]{1,9}")) {
          throw new InvalidInputException("update add NAME TTL TYPE DATA");
        }
        String[] record = data.split("\\s+", 2);
        update.add(
            Record.fromString(
                name,
                type(record[0]),
                DClass.IN,
                Long.parseLong(type),
                record.length > 1 ? record[1] : "",
                zone));
      }
      case "update delete", "update del" -> {
        if (type.isEmpty()) {
          update.delete(name);
        } else if (data.isEmpty()) {
          update.delete(name, type(type));
        } else {
          update.delete(name, type(type), data);
        }
      }
      default -> throw new InvalidInputException(HELP);
    }
  }

  private int send() throws IOException {
    update.addRecord(new OPTRecord(UDP_PAYLOAD, 0, 0), Section.ADDITIONAL);
    update.setTSIG(tsig, Rcode.NOERROR, null);
    byte[] bytes = update.toWire(Message.MAXLENGTH);
    update = new Update(zone);
    lines = 0;
    IOException last = null;
    for (int attempt = 0; attempt < TRIES; attempt++) {
      try {
        Message answer = ask(bytes);
        out.println(Rcode.string(answer.getRcode()) + reason(answer));
        return answer.getRcode() == Rcode.NOERROR ? 0 : 1;
      } catch (IOException lost) {
        last = lost;
      }
    }
    throw new IOException(
        "no answer of "
            + server
            + " after "
            + TRIES
            + " tries, the update may have been taken: "
            + last.getMessage());
  }

  private static String reason(Message answer) {
    if (answer.getOPT() != null) {
      for (EDNSOption one : answer.getOPT().getOptions()) {
        if (one instanceof ExtendedErrorCodeOption said) {
          return " (" + said.getText() + ")";
        }
      }
    }
    return "";
  }

  private Message ask(byte[] bytes) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(PATIENCE_MS);
      socket.connect(server, PATIENCE_MS);
      DataOutputStream to = new DataOutputStream(socket.getOutputStream());
      to.write(
          java.nio.ByteBuffer.allocate(bytes.length + 2)
              .putShort((short) bytes.length)
              .put(bytes)
              .array());
      DataInputStream from = new DataInputStream(socket.getInputStream());
      byte[] answer = new byte[from.readUnsignedShort()];
      from.readFully(answer);
      Message message = new Message(answer);
      int verdict = tsig.verify(message, answer, new Message(bytes).getTSIG());
      if (verdict != Rcode.NOERROR && message.getRcode() == Rcode.NOERROR) {
        throw new IOException("the answer is not signed well: " + Rcode.TSIGstring(verdict));
      }
      return message;
    }
  }
}
