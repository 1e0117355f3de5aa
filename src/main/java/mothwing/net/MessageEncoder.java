package mothwing.net;

import io.netty.buffer.ByteBuf;

/** Encodes a message into a buffer. The caller owns the buffer, and releases it if this fails. */
@FunctionalInterface
public interface MessageEncoder {
  /**
   * Writes the bytes of the message.
   *
   * @param out the buffer to append to; must not be kept
   */
  void encode(ByteBuf out);
}
