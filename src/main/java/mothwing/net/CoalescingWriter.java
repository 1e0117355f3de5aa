package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** Writes to one connection, flushing once for all that is written in one turn of the loop. */
final class CoalescingWriter {
  private boolean flushScheduled;
  private long bytesWritten;

  /**
   * Writes bytes.
   *
   * @param context where to
   * @param bytes what to write; released by this call or after it
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

  /** How many bytes were written in all. */
  long bytesWritten() {
    return bytesWritten;
  }
}
