package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import mothwing.net.CloseReason;
import mothwing.net.ProtocolException;

/**
 * The FastCGI 1.0 record codec: record types, how records are written, and how name-value pairs are
 * read.
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
  private static final int LONG_LENGTH = 0x80;

  private FastCgi() {}

  /** Writes the header of a record. */
  static void head(ByteBuf out, int type, int id, int length) {
    out.writeByte(VERSION)
        .writeByte(type)
        .writeShort(id)
        .writeShort(length)
        .writeByte(0)
        .writeByte(0);
  }

  /** Writes a stream of one request, with the empty record that ends it. */
  static void stream(ByteBuf out, int type, int id, byte[]... parts) {
    for (byte[] part : parts) {
      for (int at = 0; at < part.length; at += MAX_CONTENT_BYTES) {
        int length = Math.min(MAX_CONTENT_BYTES, part.length - at);
        head(out, type, id, length);
        out.writeBytes(part, at, length);
      }
    }
    head(out, type, id, 0);
  }

  /** Writes the end of a request. */
  static void end(ByteBuf out, int id, int protocolStatus) {
    head(out, END_REQUEST, id, HEADER_BYTES);
    out.writeInt(0).writeByte(protocolStatus).writeZero(3);
  }

  /** Writes a name-value pair. */
  static void pair(ByteBuf out, String name, String value) {
    byte[] first = name.getBytes(StandardCharsets.ISO_8859_1);
    byte[] second = value.getBytes(StandardCharsets.ISO_8859_1);
    length(out, first.length);
    length(out, second.length);
    out.writeBytes(first).writeBytes(second);
  }

  private static void length(ByteBuf out, int length) {
    if (length < LONG_LENGTH) {
      out.writeByte(length);
    } else {
      out.writeInt(length | Integer.MIN_VALUE);
    }
  }

  /** Reads name-value pairs to the end of the bytes. */
  static void pairs(ByteBuf in, BiConsumer<String, String> taker) throws ProtocolException {
    while (in.isReadable()) {
      long name = length(in);
      long value = length(in);
      if (name + value > in.readableBytes()) {
        throw new ProtocolException(CloseReason.MALFORMED, "a name-value pair is cut short");
      }
      String key = in.readCharSequence((int) name, StandardCharsets.ISO_8859_1).toString();
      taker.accept(key, in.readCharSequence((int) value, StandardCharsets.ISO_8859_1).toString());
    }
  }

  private static long length(ByteBuf in) throws ProtocolException {
    if (in.isReadable() && in.getByte(in.readerIndex()) >= 0) {
      return in.readByte();
    }
    if (in.readableBytes() < Integer.BYTES) {
      throw new ProtocolException(
          CloseReason.MALFORMED, "the length of a name or value is cut short");
    }
    return in.readInt() & Integer.MAX_VALUE;
  }
}
