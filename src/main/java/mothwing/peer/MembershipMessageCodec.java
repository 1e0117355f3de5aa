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
 * Encodes messages between servers: two magic bytes, one version byte, a CRC-32C (RFC 3720) of all
 * other bytes, and a MessagePack map with integer keys. A reader skips the value of a key that it
 * does not know, so that servers of different releases understand each other; an incompatible
 * format has a higher version, and is rejected.
 */
final class MembershipMessageCodec {
  /** The length of the header before the map. */
  static final int HEADER_BYTES = 7;

  private static final short MAGIC = 0x6d50; // "mP"
  private static final byte VERSION = 1;
  private static final int MAX_STRING_CHARS = 255;
  private static final int CRC_OFFSET = 3;

  /** Thrown if bytes are not a message of a known version; its message is a reason code. */
  static final class DecodeException extends IOException {
    private static final long serialVersionUID = 1L;

    DecodeException(String code) {
      super(code);
    }
  }

  private MembershipMessageCodec() {}

  /** Keys of the map of a message, and of the map of a record, which is numbered on its own. */
  private static final class Keys {
    // Keys of a message.
    static final int CLUSTER = 1;
    static final int KIND = 2;
    static final int SEQUENCE = 3;
    static final int PING_TARGET = 4;
    static final int SENDER = 5;
    static final int RECORDS = 6;
    // Keys of a record.
    static final int NAME = 1;
    static final int INSTANCE_ID = 2;
    static final int ADDRESS = 3;
    static final int ZONE = 4;
    static final int INCARNATION = 5;
    static final int STATE = 6;
    static final int REPORTED_BY = 7;
  }

  static byte[] encode(MembershipMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packMapHeader(6);
      packer.packInt(Keys.CLUSTER).packString(message.cluster());
      packer.packInt(Keys.KIND).packInt(message.kind().ordinal());
      packer.packInt(Keys.SEQUENCE).packLong(message.sequence());
      packer.packInt(Keys.PING_TARGET).packString(message.pingTarget());
      packer.packInt(Keys.SENDER);
      encodeRecord(packer, message.sender());
      packer.packInt(Keys.RECORDS).packArrayHeader(message.records().size());
      for (MemberRecord record : message.records()) {
        encodeRecord(packer, record);
      }
      byte[] map = packer.toByteArray();
      ByteBuffer encoded =
          ByteBuffer.allocate(HEADER_BYTES + map.length)
              .putShort(MAGIC)
              .put(VERSION)
              .put(HEADER_BYTES, map);
      return encoded.putInt(CRC_OFFSET, crc(encoded.array())).array();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible); // the packer writes to memory
    }
  }

  private static int crc(byte[] encoded) {
    CRC32C crc = new CRC32C();
    crc.update(encoded, 0, CRC_OFFSET);
    crc.update(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES);
    return (int) crc.getValue();
  }

  private static void encodeRecord(MessageBufferPacker packer, MemberRecord record)
      throws IOException {
    packer.packMapHeader(7);
    packer.packInt(Keys.NAME).packString(record.name());
    packer.packInt(Keys.INSTANCE_ID).packLong(record.instanceId());
    packer.packInt(Keys.ADDRESS).packString(record.address());
    packer.packInt(Keys.ZONE).packString(record.zone());
    packer.packInt(Keys.INCARNATION).packLong(record.incarnation());
    packer.packInt(Keys.STATE).packInt(record.state().ordinal());
    packer.packInt(Keys.REPORTED_BY).packString(record.reportedBy());
  }

  /**
   * Decodes a message.
   *
   * @param encoded the bytes of exactly one message
   * @return the message
   * @throws DecodeException if the bytes are not a message of a known version
   */
  static MembershipMessage decode(byte[] encoded) throws DecodeException {
    ByteBuffer header = ByteBuffer.wrap(encoded);
    if (encoded.length < HEADER_BYTES || header.getShort() != MAGIC) {
      throw new DecodeException("not-ours");
    } else if (header.getInt(CRC_OFFSET) != crc(encoded)) {
      throw new DecodeException("checksum");
    } else if (header.get() > VERSION) {
      throw new DecodeException("newer-version");
    }
    try (MessageUnpacker unpacker =
        MessagePack.newDefaultUnpacker(encoded, HEADER_BYTES, encoded.length - HEADER_BYTES)) {
      return decodeMessage(unpacker);
    } catch (MessagePackException | ArithmeticException | IOException failure) {
      throw failure instanceof DecodeException known ? known : new DecodeException("malformed");
    }
  }

  private static MembershipMessage decodeMessage(MessageUnpacker unpacker) throws IOException {
    String cluster = null;
    MembershipMessage.Kind kind = null;
    long sequence = 0;
    String pingTarget = "";
    MemberRecord sender = null;
    List<MemberRecord> records = new ArrayList<>();
    for (int pairs = unpacker.unpackMapHeader(); pairs > 0; pairs--) {
      switch (unpacker.unpackInt()) {
        case Keys.CLUSTER -> cluster = decodeString(unpacker);
        case Keys.KIND -> kind = constantAt(MembershipMessage.Kind.values(), unpacker.unpackInt());
        case Keys.SEQUENCE -> sequence = unpacker.unpackLong();
        case Keys.PING_TARGET -> pingTarget = decodeString(unpacker);
        case Keys.SENDER -> sender = decodeRecord(unpacker);
        case Keys.RECORDS -> {
          for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
            records.add(decodeRecord(unpacker));
          }
        }
        default -> unpacker.skipValue();
      }
    }
    if (cluster == null || kind == null || sender == null || unpacker.hasNext()) {
      throw new DecodeException("malformed");
    }
    return new MembershipMessage(cluster, kind, sequence, pingTarget, sender, records);
  }

  private static MemberRecord decodeRecord(MessageUnpacker unpacker) throws IOException {
    String name = "";
    long instanceId = 0;
    String address = "";
    String zone = "";
    long incarnation = -1;
    MemberState state = null;
    String reportedBy = "";
    for (int pairs = unpacker.unpackMapHeader(); pairs > 0; pairs--) {
      switch (unpacker.unpackInt()) {
        case Keys.NAME -> name = decodeString(unpacker);
        case Keys.INSTANCE_ID -> instanceId = unpacker.unpackLong();
        case Keys.ADDRESS -> address = decodeString(unpacker);
        case Keys.ZONE -> zone = decodeString(unpacker);
        case Keys.INCARNATION -> incarnation = unpacker.unpackLong();
        case Keys.STATE -> state = constantAt(MemberState.values(), unpacker.unpackInt());
        case Keys.REPORTED_BY -> reportedBy = decodeString(unpacker);
        default -> unpacker.skipValue();
      }
    }
    if (name.isEmpty() || address.isEmpty() || incarnation < 0 || state == null) {
      throw new DecodeException("malformed");
    }
    return new MemberRecord(name, instanceId, address, zone, incarnation, state, reportedBy);
  }

  private static String decodeString(MessageUnpacker unpacker) throws IOException {
    String text = unpacker.unpackString();
    if (text.length() > MAX_STRING_CHARS) {
      throw new DecodeException("malformed");
    }
    return text;
  }

  private static <T> T constantAt(T[] constants, int ordinal) throws DecodeException {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new DecodeException("malformed");
    }
    return constants[ordinal];
  }
}
