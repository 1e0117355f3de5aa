package mothwing.ajp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mothwing.net.CloseReason;
import mothwing.net.Header;
import mothwing.net.ProtocolException;

/**
 * The AJP/1.3 packet codec: packet codes, how packets are written, and how strings and header names
 * are read.
 */
final class Ajp {
  static final int TO_CONTAINER = 0x1234;
  static final int TO_SERVER = 0x4142; // the letters AB
  static final int HEADER_BYTES = 4;
  static final int MAX_PACKET_BYTES = 8192;
  static final int FORWARD_REQUEST = 2;
  static final int SEND_BODY_CHUNK = 3;
  static final int SEND_HEADERS = 4;
  static final int END_RESPONSE = 5;
  static final int GET_BODY_CHUNK = 6;
  static final int CPONG = 9;
  static final int CPING = 10;
  static final int MAX_CHUNK_BYTES =
      MAX_PACKET_BYTES - HEADER_BYTES - 4; // less the code, the length and the closing byte

  static final int CONTEXT = 0x01;
  static final int QUERY_STRING = 0x05;
  static final int REQUEST_ATTRIBUTE = 0x0A;
  static final int SSL_KEY_SIZE = 0x0B;
  static final int STORED_METHOD = 0x0D;
  static final int NO_MORE = 0xFF;

  private static final int CODED = 0xA0;
  private static final int ABSENT = 0xFFFF;
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

  /** Reads a string; an absent one is empty. */
  static String string(ByteBuf in) throws ProtocolException {
    need(in, Short.BYTES);
    int length = in.readUnsignedShort();
    if (length == ABSENT) {
      return "";
    }
    need(in, length + 1);
    String text = in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
    if (in.readByte() != 0) {
      throw new ProtocolException(CloseReason.MALFORMED, "a string without its closing byte");
    }
    return text;
  }

  /** Reads the name of a request header, which may be coded. */
  static String headerName(ByteBuf in) throws ProtocolException {
    need(in, Short.BYTES);
    if (in.getUnsignedByte(in.readerIndex()) != CODED) {
      return string(in);
    }
    int code = in.readUnsignedShort() & 0xFF;
    if (code == 0 || code > REQUEST_HEADERS.size()) {
      throw new ProtocolException(CloseReason.MALFORMED, "header of code " + code);
    }
    return REQUEST_HEADERS.get(code - 1);
  }

  /** Makes sure that so many bytes are left of the packet. */
  static void need(ByteBuf in, int bytes) throws ProtocolException {
    if (in.readableBytes() < bytes) {
      throw new ProtocolException(CloseReason.MALFORMED, "a packet is cut short");
    }
  }

  /** Begins a packet and returns the index of its length. */
  private static int begin(ByteBuf out, int code) {
    out.writeShort(TO_SERVER).writeShort(0).writeByte(code);
    return out.writerIndex() - Short.BYTES - 1;
  }

  private static void finish(ByteBuf out, int length) {
    out.setShort(length, out.writerIndex() - length - Short.BYTES);
  }

  private static void string(ByteBuf out, String text) {
    out.writeShort(text.length());
    out.writeCharSequence(text, StandardCharsets.ISO_8859_1);
    out.writeByte(0);
  }

  static void sendHeaders(ByteBuf out, int status, String phrase, List<Header> headers) {
    int at = begin(out, SEND_HEADERS);
    out.writeShort(status);
    string(out, phrase);
    out.writeShort(headers.size());
    for (Header header : headers) {
      string(out, header.name());
      string(out, header.value());
    }
    finish(out, at);
  }

  static void sendBody(ByteBuf out, byte[] content) {
    for (int from = 0; from < content.length; from += MAX_CHUNK_BYTES) {
      int length = Math.min(MAX_CHUNK_BYTES, content.length - from);
      int at = begin(out, SEND_BODY_CHUNK);
      out.writeShort(length).writeBytes(content, from, length).writeByte(0);
      finish(out, at);
    }
  }

  static void endResponse(ByteBuf out, boolean reuse) {
    int at = begin(out, END_RESPONSE);
    out.writeByte(reuse ? 1 : 0);
    finish(out, at);
  }

  static void getBodyChunk(ByteBuf out, int length) {
    int at = begin(out, GET_BODY_CHUNK);
    out.writeShort(length);
    finish(out, at);
  }

  static void cpong(ByteBuf out) {
    finish(out, begin(out, CPONG));
  }
}
