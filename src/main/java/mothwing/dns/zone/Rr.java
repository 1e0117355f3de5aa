package mothwing.dns.zone;

import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * One record. Types, and the forms of their data, are those of dnsjava; data are kept in wire form,
 * names in them without compression and in lower case where RFC 4034 section 6.2 says so.
 *
 * @param owner whose it is
 * @param type the type's number
 * @param ttl seconds
 * @param data its data in wire form
 */
public record Rr(DomainName owner, int type, int ttl, byte[] data) {
  /** Data that cannot be read; the message says why. */
  public static final class Bad extends Exception {
    private static final long serialVersionUID = 1L;

    Bad(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * Whether a type is one that zones can hold: not one of those for queries and messages alone (RFC
   * 6895 section 3.1).
   *
   * @param type the type's number
   * @return true if so
   */
  public static boolean storable(int type) {
    return type > 0 && type < 0xffff && type != Type.OPT && (type < 128 || type > 255);
  }

  /**
   * Reads data as zone files write them.
   *
   * @param type the type's number
   * @param text the data, with names relative to the origin and in the form of RFC 3597 where they
   *     begin with \#
   * @param origin the origin
   * @return the data in wire form
   * @throws Bad where they cannot be read
   */
  static byte[] parse(int type, String text, Name origin) throws Bad {
    byte[] address = type == Type.A ? quad(text) : null;
    if (address != null) {
      return address;
    }
    try {
      return Record.fromString(Name.root, type, DClass.IN, 0, text, origin).rdataToWireCanonical();
    } catch (TextParseException bad) {
      String why = bad.getMessage();
      throw new Bad(why.substring(why.indexOf(':', why.indexOf(':') + 1) + 1).strip());
    } catch (java.io.IOException | RuntimeException bad) {
      throw new Bad("data cannot be read: " + bad.getMessage());
    }
  }

  /**
   * Four numbers with dots between them, the usual data of an A record; null where the text is
   * anything else.
   */
  private static byte[] quad(String text) {
    byte[] address = new byte[4];
    int part = 0;
    int value = 0;
    int digits = 0;
    for (int i = 0; i <= text.length(); i++) {
      char c = i < text.length() ? text.charAt(i) : '.';
      if (c >= '0' && c <= '9' && digits < 3) {
        value = value * 10 + c - '0';
        digits++;
      } else if (c != '.' || digits == 0 || value > 255 || part == 4) {
        return null;
      } else {
        address[part++] = (byte) value;
        value = 0;
        digits = 0;
      }
    }
    return part == 4 ? address : null;
  }

  /**
   * Takes a record of a message.
   *
   * @param record the record
   * @return its data in wire form
   */
  public static byte[] data(Record record) {
    return record.rdataToWireCanonical();
  }

  /**
   * Shows data as zone files write them.
   *
   * @param type the type's number
   * @param data the data in wire form
   * @return their text
   */
  public static String show(int type, byte[] data) {
    try {
      return Record.fromWire(wire(type, data), Section.ANSWER).rdataToString();
    } catch (java.io.IOException | RuntimeException bad) {
      return "\\# " + data.length + " " + java.util.HexFormat.of().formatHex(data);
    }
  }

  private static byte[] wire(int type, byte[] data) {
    byte[] all = new byte[11 + data.length];
    all[1] = (byte) (type >> 8);
    all[2] = (byte) type;
    all[4] = 1;
    all[9] = (byte) (data.length >> 8);
    all[10] = (byte) data.length;
    System.arraycopy(data, 0, all, 11, data.length);
    return all;
  }

  /**
   * The name that data point to.
   *
   * @param type the type's number
   * @param data holds the data
   * @param at where they begin
   * @return the target of NS, CNAME, DNAME, PTR, MX and SRV, null for others
   */
  static DomainName target(int type, byte[] data, int at) {
    return switch (type) {
      case Type.NS, Type.CNAME, Type.DNAME, Type.PTR -> DomainName.of(data, at);
      case Type.MX -> DomainName.of(data, at + 2);
      case Type.SRV -> DomainName.of(data, at + 6);
      default -> null;
    };
  }

  /** The record as zone files write it. */
  @Override
  public String toString() {
    return owner + " " + ttl + " " + Type.string(type) + " " + show(type, data);
  }

  /**
   * Returns whether records of two types may have the same owner (RFC 2181 section 10.1, RFC 4034).
   */
  static boolean mayCoexist(int type, int other) {
    return type == other
        || (type != Type.CNAME && other != Type.CNAME)
        || mayStandBesideCname(type)
        || mayStandBesideCname(other);
  }

  private static boolean mayStandBesideCname(int type) {
    return type == Type.RRSIG || type == Type.NSEC || type == Type.KEY;
  }
}
