package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Encodes a message into a buffer. The caller owns the buffer, and releases it if this fails. */
@FunctionalInterface
public interface MessageEncoder {
  /**
   * Writes the bytes of the message.
   *
   * @param out the buffer to append to; must not be kept
   */
  void encode(ByteBuf out);

  /**
   * Encodes a message into a new buffer, which is released if that fails.
   *
   * @param allocator allocates the buffer
   * @param estimatedBytes an estimate of the size of the message
   * @param encoder encodes the message; what it throws is passed on
   * @return the buffer, to be released by the caller
   */
  static ByteBuf encode(ByteBufAllocator allocator, int estimatedBytes, MessageEncoder encoder) {
    ByteBuf out = allocator.buffer(estimatedBytes);
    boolean complete = false;
    try {
      encoder.encode(out);
      complete = true;
      return out;
    } finally {
      if (!complete) {
        out.release();
      }
    }
  }
}
