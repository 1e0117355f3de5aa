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

/** Opens TCP connections to one address. */
public final class TcpConnector implements Connector {
  private static final int CONNECT_TIMEOUT_MILLIS = 2000;

  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final InetSocketAddress address;

  /**
   * Creates a connector.
   *
   * @param loop the event loop of the connections
   * @param allocator the buffer allocator
   * @param address the address to connect to
   */
  public TcpConnector(EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address) {
    this.loop = loop;
    this.allocator = allocator;
    this.address = address;
  }

  @Override
  public void connect(Supplier<? extends Connection> factory, Runnable onFailure) {
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
                opened.pipeline().addLast(new OpeningHandler(factory));
              }
            })
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                // a failure to create a socket is reported on another thread
                loop.execute(onFailure);
              }
            });
  }

  /**
   * Replaces itself with the connection once that is open, so that failed attempts are neither
   * logged nor counted.
   */
  private static final class OpeningHandler extends ChannelInboundHandlerAdapter {
    private final Supplier<? extends Connection> factory;

    OpeningHandler(Supplier<? extends Connection> factory) {
      this.factory = factory;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      Connection connection = factory.get();
      ctx.pipeline().replace(this, "connection", connection);
      ctx.pipeline().fireChannelActive();
    }
  }
}
