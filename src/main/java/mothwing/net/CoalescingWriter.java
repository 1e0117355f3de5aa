package mothwing.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;

/** Writes to one connection and flushes once for all writes of one turn of the event loop. */
final class CoalescingWriter {
  private final Runnable onFlushed;
  private boolean flushScheduled;
  private long bytesWritten;
  private long unsentBytes;

  /**
   * Creates a writer.
   *
   * @param onFlushed called after each flush
   */
  CoalescingWriter(Runnable onFlushed) {
    this.onFlushed = onFlushed;
  }

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
                onFlushed.run();
              });
    }
  }

  /**
   * Returns the bytes that are not sent although they were flushed, since the peer does not read.
   * Bytes that await their first flush do not count.
   */
  long unsentBytes(ChannelHandlerContext context) {
    ChannelOutboundBuffer output = context.channel().unsafe().outboundBuffer();
    if (!flushScheduled) {
      unsentBytes = output == null ? 0 : output.totalPendingWriteBytes();
    }
    return unsentBytes;
  }

  /** Returns the number of bytes written so far. */
  long bytesWritten() {
    return bytesWritten;
  }
}
