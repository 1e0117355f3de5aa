package mothwing.trial;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in announce service: takes reports over HTTP/1.1 and says whose they were. */
final class StandInDiscoveryService implements AutoCloseable {
  private static final Pattern HEAD =
      Pattern.compile(
          "PUT /announce/([^ /]+) HTTP/1\\.1\r\n"
              + "(?:[^\r\n]*\r\n)*?[Cc]ontent-[Ll]ength: *([0-9]{1,4})\r\n(?:[^\r\n]*\r\n)*?\r\n");
  private static final int MOST = 8192;

  private final Channel listener;

  StandInDiscoveryService(EventLoop loop, InetAddress at, Consumer<String> heard)
      throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel came) {
                    came.pipeline().addLast(new Reports(heard));
                  }
                })
            .bind(new InetSocketAddress(at, 0))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("the announce service cannot listen: " + bound.cause().getMessage());
    }
    listener = bound.channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
  }

  private static final class Reports extends ChannelInboundHandlerAdapter {
    private final Consumer<String> heard;
    private String text = "";

    Reports(Consumer<String> heard) {
      this.heard = heard;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf in = (ByteBuf) message;
      text += in.toString(StandardCharsets.ISO_8859_1);
      in.release();
      Matcher head = HEAD.matcher(text);
      while (head.lookingAt() && text.length() >= head.end() + Integer.parseInt(head.group(2))) {
        text = text.substring(head.end() + Integer.parseInt(head.group(2)));
        heard.accept(head.group(1));
        context.writeAndFlush(
            Unpooled.copiedBuffer("HTTP/1.1 204 No Content\r\n\r\n", StandardCharsets.ISO_8859_1));
        head = HEAD.matcher(text);
      }
      if (text.length() > MOST) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
