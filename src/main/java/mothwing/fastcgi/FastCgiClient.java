package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;

/**
 * Encodes a FastCGI request to a running server and decodes its response, for command-line tools.
 */
public final class FastCgiClient {
  private FastCgiClient() {}

  /**
   * Encodes a GET request without a body.
   *
   * @param path the path of the request
   * @return the bytes of its records
   */
  public static byte[] request(String path) {
    ByteBuf pairs = Unpooled.buffer();
    FastCgi.writePair(pairs, "REQUEST_METHOD", "GET");
    FastCgi.writePair(pairs, "SCRIPT_NAME", path);
    ByteBuf out = Unpooled.buffer();
    FastCgi.writeHeader(out, FastCgi.BEGIN_REQUEST, 1, FastCgi.HEADER_BYTES);
    out.writeShort(FastCgi.RESPONDER).writeByte(0).writeZero(5);
    FastCgi.writeStream(out, FastCgi.PARAMS, 1, ByteBufUtil.getBytes(pairs));
    FastCgi.writeStream(out, FastCgi.STDIN, 1);
    return ByteBufUtil.getBytes(out);
  }

  /**
   * Reads a response to its end.
   *
   * @param in the bytes that the server sends
   * @return the content of the records of the response
   * @throws IOException if the response ends early
   */
  public static byte[] readResponse(DataInputStream in) throws IOException {
    ByteArrayOutputStream response = new ByteArrayOutputStream();
    while (true) {
      in.readByte();
      int type = in.readByte();
      in.readShort();
      byte[] content = new byte[in.readUnsignedShort()];
      int padding = in.readUnsignedByte();
      in.readByte();
      in.readFully(content);
      in.skipBytes(padding);
      if (type == FastCgi.END_REQUEST) {
        return response.toByteArray();
      }
      response.writeBytes(content);
    }
  }
}
