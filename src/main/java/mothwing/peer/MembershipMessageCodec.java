package mothwing.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import mothwing.membership.MemberRecord;
import mothwing.membership.MemberState;
import mothwing.membership.MembershipMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Messages between servers as bytes: two bytes of magic, one of the version, a CRC-32C (RFC 3720)
 * of what follows, and a map of MessagePack with numbers for keys. Who meets a number that it does
 * not know skips its value, so that servers of different versions understand each other; a higher
 * version says that they would not.
 */
final class MembershipMessageCodec {
  /** Bytes before the map. */
  static final int HEAD = 7;

  private static final short MAGIC = 0x6d50; // "mP"
  private static final byte VERSION = 1;
  private static final int MOST_TEXT = 255;
  private static final int CRC_AT = 3;

  /** Bytes that are no message of a version that is understood; the message is a reason code. */
  static final class Bad extends IOException {
    private static final long serialVersionUID = 1L;

    Bad(String code) {
      super(code);
    }
  }

  private MembershipMessageCodec() {}

  private static final class Keys {
    static final int CLUSTER = 1;
    static final int KIND = 2;
    static final int SEQ = 3;
    static final int ABOUT = 4;
    static final int SELF = 5;
    static final int CLAIMS = 6;
    static final int NAME = 1;
    static final int START = 2;
    static final int ADDRESS = 3;
    static final int ZONE = 4;
    static final int INCARNATION = 5;
    static final int STATE = 6;
    static final int BY = 7;
  }

  static byte[] encode(MembershipMessage message) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packMapHeader(6);
      out.packInt(Keys.CLUSTER).packString(message.cluster());
      out.packInt(Keys.KIND).packInt(message.kind().ordinal());
      out.packInt(Keys.SEQ).packLong(message.sequence());
      out.packInt(Keys.ABOUT).packString(message.pingTarget());
      out.packInt(Keys.SELF);
      claim(out, message.sender());
      out.packInt(Keys.CLAIMS).packArrayHeader(message.records().size());
      for (MemberRecord one : message.records()) {
        claim(out, one);
      }
      byte[] map = out.toByteArray();
      ByteBuffer all =
          ByteBuffer.allocate(HEAD + map.length).putShort(MAGIC).put(VERSION).put(HEAD, map);
      return all.putInt(CRC_AT, crc(all.array())).array();
    } catch (IOException never) {
      throw new UncheckedIOException(never); // it writes to memory
    }
  }

  private static int crc(byte[] all) {
    CRC32C crc = new CRC32C();
    crc.update(all, 0, CRC_AT);
    crc.update(all, HEAD, all.length - HEAD);
    return (int) crc.getValue();
  }

  private static void claim(MessageBufferPacker out, MemberRecord one) throws IOException {
    out.packMapHeader(7);
    out.packInt(Keys.NAME).packString(one.name());
    out.packInt(Keys.START).packLong(one.instanceId());
    out.packInt(Keys.ADDRESS).packString(one.address());
    out.packInt(Keys.ZONE).packString(one.zone());
    out.packInt(Keys.INCARNATION).packLong(one.incarnation());
    out.packInt(Keys.STATE).packInt(one.state().ordinal());
    out.packInt(Keys.BY).packString(one.reportedBy());
  }

  /**
   * Reads a message.
   *
   * @param all the bytes, nothing before or behind
   * @return the message
   * @throws Bad where they are none
   */
  static MembershipMessage decode(byte[] all) throws Bad {
    ByteBuffer bytes = ByteBuffer.wrap(all);
    if (all.length < HEAD || bytes.getShort() != MAGIC) {
      throw new Bad("not-ours");
    } else if (bytes.getInt(CRC_AT) != crc(all)) {
      throw new Bad("checksum");
    } else if (bytes.get() > VERSION) {
      throw new Bad("newer-version");
    }
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(all, HEAD, all.length - HEAD)) {
      return decode(in);
    } catch (MessagePackException | ArithmeticException | IOException bad) {
      throw bad instanceof Bad one ? one : new Bad("malformed");
    }
  }

  private static MembershipMessage decode(MessageUnpacker in) throws IOException {
    String cluster = null;
    MembershipMessage.Kind kind = null;
    long seq = 0;
    String about = "";
    MemberRecord self = null;
    List<MemberRecord> claims = new ArrayList<>();
    for (int left = in.unpackMapHeader(); left > 0; left--) {
      switch (in.unpackInt()) {
        case Keys.CLUSTER -> cluster = text(in);
        case Keys.KIND -> kind = one(MembershipMessage.Kind.values(), in.unpackInt());
        case Keys.SEQ -> seq = in.unpackLong();
        case Keys.ABOUT -> about = text(in);
        case Keys.SELF -> self = claim(in);
        case Keys.CLAIMS -> {
          for (int more = in.unpackArrayHeader(); more > 0; more--) {
            claims.add(claim(in));
          }
        }
        default -> in.skipValue();
      }
    }
    if (cluster == null || kind == null || self == null || in.hasNext()) {
      throw new Bad("malformed");
    }
    return new MembershipMessage(cluster, kind, seq, about, self, claims);
  }

  private static MemberRecord claim(MessageUnpacker in) throws IOException {
    String name = "";
    long start = 0;
    String address = "";
    String zone = "";
    long incarnation = -1;
    MemberState state = null;
    String by = "";
    for (int left = in.unpackMapHeader(); left > 0; left--) {
      switch (in.unpackInt()) {
        case Keys.NAME -> name = text(in);
        case Keys.START -> start = in.unpackLong();
        case Keys.ADDRESS -> address = text(in);
        case Keys.ZONE -> zone = text(in);
        case Keys.INCARNATION -> incarnation = in.unpackLong();
        case Keys.STATE -> state = one(MemberState.values(), in.unpackInt());
        case Keys.BY -> by = text(in);
        default -> in.skipValue();
      }
    }
    if (name.isEmpty() || address.isEmpty() || incarnation < 0 || state == null) {
      throw new Bad("malformed");
    }
    return new MemberRecord(name, start, address, zone, incarnation, state, by);
  }

  private static String text(MessageUnpacker in) throws IOException {
    String text = in.unpackString();
    if (text.length() > MOST_TEXT) {
      throw new Bad("malformed");
    }
    return text;
  }

  private static <T> T one(T[] all, int place) throws Bad {
    if (place < 0 || place >= all.length) {
      throw new Bad("malformed");
    }
    return all[place];
  }
}
