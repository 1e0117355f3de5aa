package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.IntPredicate;
import mothwing.net.CloseReason;
import mothwing.net.ProtocolException;

/**
 * Codec of FastCGI 1.0: the record types, the encoding of records, and the encoding and decoding of
 * name-value pairs.
 */
final class FastCgi {
  static final int VERSION = 1;
  static final int HEADER_BYTES = 8;
  static final int BEGIN_REQUEST = 1;
  static final int ABORT_REQUEST = 2;
  static final int END_REQUEST = 3;
  static final int PARAMS = 4;
  static final int STDIN = 5;
  static final int STDOUT = 6;
  static final int GET_VALUES = 9;
  static final int GET_VALUES_RESULT = 10;
  static final int UNKNOWN_TYPE = 11;
  static final int RESPONDER = 1;
  static final int KEEP_CONN = 1;
  static final int REQUEST_COMPLETE = 0;
  static final int UNKNOWN_ROLE = 3;

  private static final int MAX_CONTENT_BYTES = 0xFFFF;

  /** The index of the length of the content within a header. */
  private static final int LENGTH_INDEX = 4;

  private static final int MIN_LONG_LENGTH = 0x80;

  private FastCgi() {}

  /** Writes the header of a record. */
  static void writeHeader(ByteBuf out, int type, int id, int length) {
    out.writeByte(VERSION)
        .writeByte(type)
        .writeShort(id)
        .writeShort(length)
        .writeByte(0)
        .writeByte(0);
  }

  /** Writes a stream of one request, followed by the empty record that ends it. */
  static void writeStream(ByteBuf out, int type, int id, byte[]... parts) {
    for (byte[] part : parts) {
      for (int offset = 0; offset < part.length; offset += MAX_CONTENT_BYTES) {
        int length = Math.min(MAX_CONTENT_BYTES, part.length - offset);
        writeHeader(out, type, id, length);
        out.writeBytes(part, offset, length);
      }
    }
    writeHeader(out, type, id, 0);
  }

  /** Writes the record that ends a request. */
  static void writeEndRequest(ByteBuf out, int id, int protocolStatus) {
    writeHeader(out, END_REQUEST, id, HEADER_BYTES);
    out.writeInt(0).writeByte(protocolStatus).writeZero(3);
  }

  /** Writes the record that answers a management record of an unknown type. */
  static void writeUnknownType(ByteBuf out, int type) {
    writeHeader(out, UNKNOWN_TYPE, 0, HEADER_BYTES);
    out.writeByte(type).writeZero(7);
  }

  /** Writes the record that answers a query for variables, with those that are known. */
  static void writeValuesResult(ByteBuf out, Map<String, String> values) {
    int headerIndex = out.writerIndex();
    writeHeader(out, GET_VALUES_RESULT, 0, 0);
    int contentIndex = out.writerIndex();
    values.forEach((name, value) -> writePair(out, name, value));
    out.setShort(headerIndex + LENGTH_INDEX, out.writerIndex() - contentIndex);
  }

  /** Writes a name-value pair. */
  static void writePair(ByteBuf out, String name, String value) {
    byte[] nameBytes = name.getBytes(StandardCharsets.ISO_8859_1);
    byte[] valueBytes = value.getBytes(StandardCharsets.ISO_8859_1);
    writeLength(out, nameBytes.length);
    writeLength(out, valueBytes.length);
    out.writeBytes(nameBytes).writeBytes(valueBytes);
  }

  private static void writeLength(ByteBuf out, int length) {
    if (length < MIN_LONG_LENGTH) {
      out.writeByte(length);
    } else {
      out.writeInt(length | Integer.MIN_VALUE);
    }
  }

  /**
   * Reads name-value pairs. Those whose names have a length that is not accepted are skipped, which
   * costs far less: a request may have thousands.
   *
   * @param bytes the pairs
   * @param nameLengths accepts the lengths of names in bytes
   * @param consumer receives name and value
   * @throws ProtocolException if the last pair is truncated
   */
  static void readPairs(byte[] bytes, IntPredicate nameLengths, BiConsumer<String, String> consumer)
      throws ProtocolException {
    int index = 0;
    while (index < bytes.length) {
      int nameLength = readLength(bytes, index);
      index += lengthBytes(bytes, index);
      int valueLength = readLength(bytes, index);
      index += lengthBytes(bytes, index);
      if ((long) nameLength + valueLength > bytes.length - index) {
        throw new ProtocolException(CloseReason.MALFORMED, "truncated name-value pair");
      }
      int valueIndex = index + nameLength;
      if (nameLengths.test(nameLength)) {
        consumer.accept(
            new String(bytes, index, nameLength, StandardCharsets.ISO_8859_1),
            new String(bytes, valueIndex, valueLength, StandardCharsets.ISO_8859_1));
      }
      index = valueIndex + valueLength;
    }
  }

  private static int lengthBytes(byte[] bytes, int index) {
    return bytes[index] >= 0 ? 1 : Integer.BYTES;
  }

  private static int readLength(byte[] bytes, int index) throws ProtocolException {
    if (index < bytes.length && bytes[index] >= 0) {
      return bytes[index];
    }
    if (bytes.length - index < Integer.BYTES) {
      throw new ProtocolException(CloseReason.MALFORMED, "truncated length of a name or value");
    }
    return ByteBuffer.wrap(bytes).getInt(index) & Integer.MAX_VALUE;
  }
}
