package mothwing.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The last part of an orderly close: this side is shut, and what the other side still sends is read
 * and discarded until it closes too. A close over unread bytes would reset the connection, and an
 * answer on its way could be lost with it. Bounded in time and in bytes, so that a peer that never
 * closes, or never stops sending, holds no descriptor for long.
 */
final class CloseLinger {
  private static final int LINGER_MILLIS = 250;
  private static final int MAX_DISCARDED_BYTES = 128 << 10;

  private boolean active;
  private int discardedBytes;

  /** Whether this side is shut, and only the other side's close is awaited. */
  boolean isActive() {
    return active;
  }

  /**
   * Shuts this side once all that was written has left, and closes the connection once the other
   * side has closed too or the time is over. Where this side cannot be shut, the connection is
   * closed at once.
   *
   * @param context the connection
   * @param onShut called once this side is shut
   */
  void shutOutput(ChannelHandlerContext context, Runnable onShut) {
    context.channel().config().setAutoRead(false);
    context
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            flushed -> {
              if (flushed.isSuccess()
                  && context.channel() instanceof DuplexChannel duplex
                  && duplex.isActive()) {
                duplex.shutdownOutput().addListener(shut -> awaitPeer(shut, context, onShut));
              } else {
                context.close();
              }
            });
  }

  private void awaitPeer(Future<?> shut, ChannelHandlerContext context, Runnable onShut) {
    if (!shut.isSuccess() || !context.channel().isActive()) {
      context.close();
      return;
    }
    active = true;
    onShut.run();
    if (context.channel().isOpen()) {
      context.channel().config().setAutoRead(true);
      context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Counts bytes that were discarded, and closes the connection over the bound. */
  void discarded(int bytes, ChannelHandlerContext context) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      context.close();
    }
  }
}
