package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** Writes to one connection and flushes once for all writes of one turn of the event loop. */
final class CoalescingWriter {
  private boolean flushScheduled;
  private long bytesWritten;

  /**
   * Writes bytes and schedules a flush unless one is scheduled.
   *
   * @param context the context of the connection
   * @param bytes the bytes; this class releases them
   */
  void write(ChannelHandlerContext context, ByteBuf bytes) {
    bytesWritten += bytes.readableBytes();
    context.write(bytes, context.voidPromise());
    if (!flushScheduled) {
      flushScheduled = true;
      context
          .executor()
          .execute(
              () -> {
                flushScheduled = false;
                context.flush();
              });
    }
  }

  /** Returns the number of bytes written so far. */
  long bytesWritten() {
    return bytesWritten;
  }
}
