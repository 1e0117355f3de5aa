package mothwing.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The last phase of an orderly close: the output is shut down, and input is read and discarded
 * until the peer closes too. A close with unread input would reset the connection, and an answer in
 * flight could be lost with it. Bounded in time and in bytes, so that a peer that never closes or
 * never stops sending cannot hold a file descriptor for long.
 */
final class CloseLinger {
  private static final int LINGER_MILLIS = 250;
  private static final int MAX_DISCARDED_BYTES = 128 << 10;

  private boolean active;
  private int discardedBytes;

  /** Returns whether the output is shut down and only the peer's close is awaited. */
  boolean isActive() {
    return active;
  }

  /**
   * Shuts down the output once everything written has been flushed, and closes the connection when
   * the peer has closed too or the time is over. If the output cannot be shut down, the connection
   * is closed at once.
   *
   * @param context the context of the connection
   * @param onShutDown called once the output is shut down
   */
  void shutDownOutput(ChannelHandlerContext context, Runnable onShutDown) {
    context.channel().config().setAutoRead(false);
    context
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            flushed -> {
              if (flushed.isSuccess()
                  && context.channel() instanceof DuplexChannel duplex
                  && duplex.isActive()) {
                duplex
                    .shutdownOutput()
                    .addListener(shutdown -> awaitPeer(shutdown, context, onShutDown));
              } else {
                context.close();
              }
            });
  }

  private void awaitPeer(Future<?> shutdown, ChannelHandlerContext context, Runnable onShutDown) {
    if (!shutdown.isSuccess() || !context.channel().isActive()) {
      context.close();
      return;
    }
    active = true;
    onShutDown.run();
    if (context.channel().isOpen()) {
      context.channel().config().setAutoRead(true);
      context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Counts discarded bytes, and closes the connection if they exceed the bound. */
  void countDiscarded(int bytes, ChannelHandlerContext context) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      context.close();
    }
  }
}
