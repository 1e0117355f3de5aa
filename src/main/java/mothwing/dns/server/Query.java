package mothwing.dns.server;

import java.util.Arrays;
import mothwing.dns.zone.DomainName;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * A message to the server, as far as it must be read to be answered: header, one question, and what
 * stands in an OPT record (RFC 1035 section 4.1, RFC 6891 section 6.1). Names are passed over
 * without following pointers, so that no message can hold the reader up; a name in a question has
 * no pointers.
 */
final class Query {
  /** Bytes of a header. */
  static final int HEADER = 12;

  /**
   * Most bytes of an answer over UDP to whoever does not say that it takes more (RFC 1035 section
   * 4.2.1).
   */
  static final int PLAIN_UDP = 512;

  private static final int QR = 0x8000;
  private static final int OPT_FIXED = 10;
  private static final int COOKIE = 10;

  private final byte[] bytes;
  private int error = Rcode.NOERROR;
  private DomainName name;
  private int type;
  private int dclass;
  private int questionEnd = HEADER;
  private boolean edns;
  private int version;
  private int udpSize = PLAIN_UDP;
  private boolean signed;
  private byte[] cookie;
  private byte[] reply;
  private boolean proven;

  private Query(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Reads a message.
   *
   * @param bytes its bytes
   * @return the message, with an error's code where it is malformed; null where nothing may be
   *     answered, as it is too short to have an id, or an answer itself
   */
  static Query read(byte[] bytes) {
    if (bytes.length < HEADER || (bytes[2] & 0x80) != 0) {
      return null;
    }
    Query query = new Query(bytes);
    try {
      query.parse();
    } catch (IndexOutOfBoundsException cutShort) {
      query.error = Rcode.FORMERR;
      query.edns = false; // its OPT record may not be whole, and the answer would be longer
    }
    return query;
  }

  private int u16(int at) {
    return (bytes[at] & 0xff) << 8 | (bytes[at + 1] & 0xff);
  }

  private void parse() {
    int opcode = opcode();
    if (opcode != Opcode.QUERY && opcode != Opcode.UPDATE) {
      error = Rcode.NOTIMP;
      return;
    }
    if (u16(4) != 1) {
      error = Rcode.FORMERR;
      return;
    }
    name = DomainName.of(bytes, HEADER);
    if (name == null) {
      error = Rcode.FORMERR;
      return;
    }
    int at = HEADER + name.wire().length;
    type = u16(at);
    dclass = u16(at + 2);
    questionEnd = at + 4;
    at = questionEnd;
    if (opcode == Opcode.QUERY && u16(6) + u16(8) > 0) {
      error = Rcode.FORMERR; // a question has no answer and no authority yet
      return;
    }
    for (int records = u16(6) + u16(8); records > 0; records--) {
      at = pastRecord(at);
    }
    for (int records = u16(10); records > 0 && error == Rcode.NOERROR; records--) {
      int owner = at;
      at = pastName(at);
      int kind = u16(at);
      if (kind == Type.OPT) {
        opt(owner, at);
      }
      signed |= kind == Type.TSIG;
      at += OPT_FIXED + u16(at + 8);
      if (at > bytes.length) {
        error = Rcode.FORMERR;
      }
    }
  }

  private void opt(int owner, int at) {
    if (edns || bytes[owner] != 0) {
      error = Rcode.FORMERR; // more than one, or with a name
      return;
    }
    edns = true;
    udpSize = Math.max(PLAIN_UDP, u16(at + 2));
    version = bytes[at + 5] & 0xff;
    if (version != 0) {
      error = Rcode.BADVERS;
      return;
    }
    int end = at + OPT_FIXED + u16(at + 8);
    for (int option = at + OPT_FIXED; option + 4 <= end; option += 4 + u16(option + 2)) {
      int length = u16(option + 2);
      if (option + 4 + length > end) {
        error = Rcode.FORMERR;
      } else if (u16(option) == COOKIE && cookie == null) {
        boolean well =
            length == Cookies.CLIENT
                || (length >= 2 * Cookies.CLIENT && length <= 5 * Cookies.CLIENT);
        error = well ? error : Rcode.FORMERR; // RFC 7873 section 5.2.2
        cookie = Arrays.copyOfRange(bytes, option + 4, option + 4 + length);
      }
    }
  }

  private int pastName(int from) {
    int at = from;
    while (bytes[at] != 0) {
      int length = bytes[at] & 0xff;
      if (length >= 0xc0) {
        return at + 2;
      } else if (length > DomainName.MOST_LABEL) {
        throw new IndexOutOfBoundsException();
      }
      at += length + 1;
    }
    return at + 1;
  }

  private int pastRecord(int from) {
    int at = pastName(from);
    at += OPT_FIXED + u16(at + 8);
    if (at > bytes.length) {
      throw new IndexOutOfBoundsException();
    }
    return at;
  }

  byte[] bytes() {
    return bytes;
  }

  int id() {
    return u16(0);
  }

  int opcode() {
    return bytes[2] >> 3 & 15;
  }

  /** Bits that an answer repeats: the opcode, and that recursion was desired. */
  int echoedFlags() {
    return QR | (u16(2) & 0x7900);
  }

  /** The code with which it must be answered as it stands, NOERROR where there is none. */
  int error() {
    return error;
  }

  DomainName name() {
    return name;
  }

  int type() {
    return type;
  }

  int dclass() {
    return dclass;
  }

  boolean edns() {
    return edns;
  }

  /** Most bytes that the sender takes over UDP. */
  int udpSize() {
    return udpSize;
  }

  /** The cookie that it brought, client's and server's, or null. */
  byte[] cookie() {
    return error == Rcode.NOERROR ? cookie : null;
  }

  /** Notes the cookie for the answer, and whether the one that came proves where it came from. */
  void cookied(byte[] forReply, boolean good) {
    reply = forReply;
    proven = good;
  }

  /** The cookie for the answer, or null for none. */
  byte[] replyCookie() {
    return reply;
  }

  /** Whether whoever sent it is known to receive what is sent to its address. */
  boolean proven() {
    return proven;
  }

  /** Whether it is signed with TSIG. */
  boolean signed() {
    return signed;
  }

  /** Where the question ends; at the header's end where it could not be read. */
  int questionEnd() {
    return name == null ? HEADER : questionEnd;
  }

  /**
   * What makes two questions the same, apart from ids, spelling and cookies: the question, and what
   * came by EDNS.
   */
  byte[] cacheKey(int limit) {
    int length = name.wire().length;
    byte[] key = Arrays.copyOf(name.wire(), length + 5);
    key[length] = (byte) (type >> 8);
    key[length + 1] = (byte) type;
    key[length + 2] = (byte) ((edns ? 1 : 0) | (reply != null ? 2 : 0));
    key[length + 3] = (byte) (limit >> 8);
    key[length + 4] = (byte) limit;
    return key;
  }
}
