package mothwing.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;

/** A FastCGI request to a running shop server and its answer, for command-line tools. */
public final class FastCgiClient {
  private FastCgiClient() {}

  /**
   * The bytes of a request without a body.
   *
   * @param path where it goes
   * @return its records
   */
  public static byte[] request(String path) {
    ByteBuf pairs = Unpooled.buffer();
    FastCgi.pair(pairs, "REQUEST_METHOD", "GET");
    FastCgi.pair(pairs, "SCRIPT_NAME", path);
    ByteBuf out = Unpooled.buffer();
    FastCgi.head(out, FastCgi.BEGIN_REQUEST, 1, FastCgi.HEADER_BYTES);
    out.writeShort(FastCgi.RESPONDER).writeByte(0).writeZero(5);
    FastCgi.stream(out, FastCgi.PARAMS, 1, ByteBufUtil.getBytes(pairs));
    FastCgi.stream(out, FastCgi.STDIN, 1);
    return ByteBufUtil.getBytes(out);
  }

  /**
   * Reads the answer to its end.
   *
   * @param in what the server sends
   * @return the content of its records
   * @throws IOException where it ends early
   */
  public static byte[] readResponse(DataInputStream in) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
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
        return all.toByteArray();
      }
      all.writeBytes(content);
    }
  }
}
