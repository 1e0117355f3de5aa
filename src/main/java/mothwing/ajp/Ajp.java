package mothwing.ajp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mothwing.net.CloseReason;
import mothwing.net.Header;
import mothwing.net.ProtocolException;

/**
 * Codec of AJP/1.3: the packet codes, the encoding of packets, and the decoding of strings and
 * header names.
 */
final class Ajp {
  static final int TO_CONTAINER = 0x1234;

  // The ASCII characters "AB".
  static final int TO_SERVER = 0x4142;

  static final int HEADER_BYTES = 4;
  static final int MAX_PACKET_BYTES = 8192;
  static final int FORWARD_REQUEST = 2;
  static final int SEND_BODY_CHUNK = 3;
  static final int SEND_HEADERS = 4;
  static final int END_RESPONSE = 5;
  static final int GET_BODY_CHUNK = 6;
  static final int CPONG = 9;
  static final int CPING = 10;

  // A chunk shares its packet with the code, the length and the terminating byte.
  static final int MAX_CHUNK_BYTES = MAX_PACKET_BYTES - HEADER_BYTES - 4;

  static final int CONTEXT = 0x01;
  static final int QUERY_STRING = 0x05;
  static final int REQUEST_ATTRIBUTE = 0x0A;
  static final int SSL_KEY_SIZE = 0x0B;
  static final int STORED_METHOD = 0x0D;
  static final int REQUEST_TERMINATOR = 0xFF;

  private static final int HEADER_CODE_PREFIX = 0xA0;
  private static final int NULL_STRING_LENGTH = 0xFFFF;
  private static final List<String> REQUEST_HEADERS =
      List.of(
          "accept",
          "accept-charset",
          "accept-encoding",
          "accept-language",
          "authorization",
          "connection",
          "content-type",
          "content-length",
          "cookie",
          "cookie2",
          "host",
          "pragma",
          "referer",
          "user-agent");

  private Ajp() {}

  /** Reads a string; a null string is read as empty. */
  static String readString(ByteBuf in) throws ProtocolException {
    requireBytes(in, Short.BYTES);
    int length = in.readUnsignedShort();
    if (length == NULL_STRING_LENGTH) {
      return "";
    }
    requireBytes(in, length + 1);
    String text = in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
    requireTerminator(in);
    return text;
  }

  /** Skips a string. */
  static void skipString(ByteBuf in) throws ProtocolException {
    requireBytes(in, Short.BYTES);
    int length = in.readUnsignedShort();
    if (length != NULL_STRING_LENGTH) {
      requireBytes(in, length + 1);
      in.skipBytes(length);
      requireTerminator(in);
    }
  }

  private static void requireTerminator(ByteBuf in) throws ProtocolException {
    if (in.readByte() != 0) {
      throw new ProtocolException(CloseReason.MALFORMED, "a string without its terminating byte");
    }
  }

  /** Reads the name of a request header, which may be encoded as a number. */
  static String readHeaderName(ByteBuf in) throws ProtocolException {
    requireBytes(in, Short.BYTES);
    if (in.getUnsignedByte(in.readerIndex()) != HEADER_CODE_PREFIX) {
      return readString(in);
    }
    int code = in.readUnsignedShort() & 0xFF;
    if (code == 0 || code > REQUEST_HEADERS.size()) {
      throw new ProtocolException(CloseReason.MALFORMED, "unknown header code " + code);
    }
    return REQUEST_HEADERS.get(code - 1);
  }

  /** Requires that at least the given number of bytes is left in the packet. */
  static void requireBytes(ByteBuf in, int bytes) throws ProtocolException {
    if (in.readableBytes() < bytes) {
      throw new ProtocolException(CloseReason.MALFORMED, "truncated packet");
    }
  }

  /** Begins a packet and returns the index of its length field. */
  private static int beginPacket(ByteBuf out, int code) {
    out.writeShort(TO_SERVER).writeShort(0).writeByte(code);
    return out.writerIndex() - Short.BYTES - 1;
  }

  /** Writes the length of a packet into its length field. */
  private static void finishPacket(ByteBuf out, int lengthIndex) {
    out.setShort(lengthIndex, out.writerIndex() - lengthIndex - Short.BYTES);
  }

  private static void writeString(ByteBuf out, String text) {
    out.writeShort(text.length());
    out.writeCharSequence(text, StandardCharsets.ISO_8859_1);
    out.writeByte(0);
  }

  static void writeHeaders(ByteBuf out, int status, String phrase, List<Header> headers) {
    int lengthIndex = beginPacket(out, SEND_HEADERS);
    out.writeShort(status);
    writeString(out, phrase);
    out.writeShort(headers.size());
    for (Header header : headers) {
      writeString(out, header.name());
      writeString(out, header.value());
    }
    finishPacket(out, lengthIndex);
  }

  /** Writes the content of a response as Send Body Chunk packets. */
  static void writeBody(ByteBuf out, byte[] content) {
    for (int from = 0; from < content.length; from += MAX_CHUNK_BYTES) {
      int length = Math.min(MAX_CHUNK_BYTES, content.length - from);
      int lengthIndex = beginPacket(out, SEND_BODY_CHUNK);
      out.writeShort(length).writeBytes(content, from, length).writeByte(0);
      finishPacket(out, lengthIndex);
    }
  }

  static void writeEndResponse(ByteBuf out, boolean reuse) {
    int lengthIndex = beginPacket(out, END_RESPONSE);
    out.writeByte(reuse ? 1 : 0);
    finishPacket(out, lengthIndex);
  }

  /** Writes a Get Body Chunk packet. */
  static void writeGetBodyChunk(ByteBuf out, int length) {
    int lengthIndex = beginPacket(out, GET_BODY_CHUNK);
    out.writeShort(length);
    finishPacket(out, lengthIndex);
  }

  static void writeCpong(ByteBuf out) {
    finishPacket(out, beginPacket(out, CPONG));
  }
}
