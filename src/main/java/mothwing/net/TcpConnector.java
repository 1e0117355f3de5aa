package mothwing.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Opens connections to one address. */
public final class TcpConnector implements Connector {
  private static final int CONNECT_TIMEOUT_MILLIS = 2000;

  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final InetSocketAddress address;

  /**
   * Makes a connector.
   *
   * @param loop the thread of it all
   * @param allocator gives buffers
   * @param address where to connect
   */
  public TcpConnector(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address) {
    this.loop = loop;
    this.allocator = allocator;
    this.address = address;
  }

  @Override
  public void connect(Supplier<? extends Connection> maker, Runnable failed) {
    new Bootstrap()
        .group(loop)
        .channelFactory(RetryingSocketChannel::new)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOCATOR, allocator)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel opened) {
                opened.pipeline().addLast(new OpeningHandler(maker));
              }
            })
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                loop.execute(failed); // a failure to create a socket is reported on another thread
              }
            });
  }

  /**
   * Replaces itself with the connection once that is open, so that failed attempts leave no trace.
   */
  private static final class OpeningHandler extends ChannelInboundHandlerAdapter {
    private final Supplier<? extends Connection> maker;

    OpeningHandler(Supplier<? extends Connection> maker) {
      this.maker = maker;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      Connection connection = maker.get();
      ctx.pipeline().replace(this, "connection", connection);
      ctx.pipeline().fireChannelActive();
    }
  }
}
