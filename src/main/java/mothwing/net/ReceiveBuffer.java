package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** The bytes that one connection has received and not decoded yet. Holds no buffer while empty. */
final class ReceiveBuffer {
  private static final int MIN_COMPACTED_BYTES = 16 << 10;

  private ByteBuf bytes;

  /**
   * Appends received bytes. The buffer grows by doubling.
   *
   * @param received the bytes; this class releases them, even if there is no memory to append them
   * @param allocator allocates the joined buffer
   */
  void append(ByteBuf received, ByteBufAllocator allocator) {
    if (bytes == null) {
      bytes = received;
      return;
    }
    try {
      if (bytes.writableBytes() < received.readableBytes()) {
        int needed = bytes.readableBytes() + received.readableBytes();
        replace(allocator, Math.max(needed, 2 * bytes.readableBytes()));
      }
      bytes.writeBytes(received);
    } finally {
      received.release();
    }
  }

  /** Moves the remaining bytes to a smaller buffer if they occupy little of this one. */
  void compact(ByteBufAllocator allocator) {
    boolean isLarge = bytes != null && bytes.capacity() > MIN_COMPACTED_BYTES;
    if (isLarge && bytes.isReadable() && bytes.readableBytes() <= bytes.capacity() / 4) {
      replace(allocator, bytes.readableBytes());
    }
  }

  private void replace(ByteBufAllocator allocator, int capacity) {
    ByteBuf former = bytes;
    bytes = MessageEncoder.encode(allocator, capacity, out -> out.writeBytes(former));
    former.release();
  }

  /** Returns the bytes. Must not be called while the buffer is empty. */
  ByteBuf bytes() {
    return bytes;
  }

  /** Returns the number of bytes. */
  int size() {
    return bytes == null ? 0 : bytes.readableBytes();
  }

  /** Returns how many bytes of memory the buffer occupies. */
  int capacity() {
    return bytes == null ? 0 : bytes.capacity();
  }

  /** Releases the buffer and the bytes in it. */
  void clear() {
    if (bytes != null) {
      bytes.release();
      bytes = null;
    }
  }
}
