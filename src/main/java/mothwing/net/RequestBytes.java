package mothwing.net;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Bytes of a request that arrive in parts. The array grows by doubling, so that many small parts
 * cost no more than a few large ones.
 */
public final class RequestBytes {
  private static final byte[] NO_BYTES = new byte[0];

  private byte[] bytes = NO_BYTES;
  private int size;

  /** Creates an empty sequence. */
  public RequestBytes() {}

  /**
   * Appends bytes.
   *
   * @param source the bytes to read
   * @param length how many of them to read
   */
  public void append(ByteBuf source, int length) {
    int needed = size + length;
    if (needed > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(needed, 2 * bytes.length));
    }
    source.readBytes(bytes, size, length);
    size = needed;
  }

  /**
   * Returns the number of bytes.
   *
   * @return bytes
   */
  public int size() {
    return size;
  }

  /**
   * Returns how many bytes of memory are in use.
   *
   * @return bytes, at least {@link #size}
   */
  public int capacity() {
    return bytes.length;
  }

  /**
   * Returns the bytes in an array of exactly their number, and empties this sequence.
   *
   * @return the bytes
   */
  public byte[] take() {
    byte[] taken = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    bytes = NO_BYTES;
    size = 0;
    return taken;
  }
}
