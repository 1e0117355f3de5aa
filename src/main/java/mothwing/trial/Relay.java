package mothwing.trial;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Stands between all machines: it listens in the place of a receiver, knows the sender by its
 * address, and does to each direction of the pair what the faults in force say. All of it happens
 * on one event loop.
 */
final class Relay implements AutoCloseable {
  private static final int BACKLOG = 1024;
  private static final int MOST_WAITING =
      256 << 10; // bytes of one direction; beyond it the sender has to wait
  private static final long RESEND = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int PIECE = 16 << 10;
  private static final int MOST_DATAGRAMS = 4096; // on their way at once; what is more is dropped

  private final EventLoop loop;
  private final Links links;
  private final Random random;
  private final Map<InetAddress, String> names = new HashMap<>();
  private final Set<Stream> streams = new LinkedHashSet<>();
  private final List<Channel> listeners = new ArrayList<>();
  private final Map<InetSocketAddress, Consumer<Boolean>> awaited = new HashMap<>();
  private final Map<InetSocketAddress, Boolean> reached = new HashMap<>();
  private int datagrams;
  private int dropped;

  Relay(EventLoop loop, Links links, Random random) {
    this.loop = loop;
    this.links = links;
    this.random = random;
  }

  /** Says whose address this is. */
  void name(InetAddress address, String machine) {
    names.put(address, machine);
  }

  /**
   * Listens in the place of a machine.
   *
   * @param receiver whose place it is
   * @param usual who sends where the address of a connection is nobody's
   * @param at where to listen; a port is chosen
   * @param to where it goes on to
   * @return where it listens
   * @throws IOException where it cannot
   */
  InetSocketAddress open(String receiver, String usual, InetAddress at, InetSocketAddress to)
      throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel came) {
                    InetSocketAddress from = (InetSocketAddress) came.remoteAddress();
                    new Stream(names.getOrDefault(from.getAddress(), usual), receiver, came, to)
                        .begin();
                  }
                })
            .bind(new InetSocketAddress(at, 0))
            .awaitUninterruptibly();
    return listening(bound);
  }

  /**
   * Takes datagrams in the place of a machine; the sender is known by its address alone, and
   * answers go their own way.
   *
   * @param receiver whose place it is
   * @param at where to take them; a port 0 is chosen
   * @param to where they go on to
   * @return where it takes them
   * @throws IOException where it cannot
   */
  InetSocketAddress openDatagrams(String receiver, InetSocketAddress at, InetSocketAddress to)
      throws IOException {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelRead(ChannelHandlerContext context, Object message) {
                    datagram((DatagramPacket) message, receiver, to, context.channel());
                  }
                })
            .bind(at)
            .awaitUninterruptibly();
    return listening(bound);
  }

  private InetSocketAddress listening(ChannelFuture bound) throws IOException {
    if (!bound.isSuccess()) {
      throw new IOException("the relay cannot listen: " + bound.cause().getMessage());
    }
    synchronized (listeners) {
      listeners.add(bound.channel());
    }
    return (InetSocketAddress) bound.channel().localAddress();
  }

  private void datagram(DatagramPacket packet, String receiver, InetSocketAddress to, Channel by) {
    Links.Way way = links.way(names.getOrDefault(packet.sender().getAddress(), ""), receiver);
    ByteBuf bytes = packet.content();
    if (way.cut()
        || way.swallow()
        || random.nextDouble() < way.lose()
        || datagrams >= MOST_DATAGRAMS) {
      dropped++;
      bytes.release();
      return;
    }
    turn(bytes, way);
    int times = random.nextDouble() < way.repeat() ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long wait =
          (long)
              ((way.delayMs() + way.spreadMs() * random.nextDouble()) * 1e6
                  + (way.slow() > 0 ? bytes.readableBytes() / way.slow() * 1e9 : 0));
      datagrams++;
      ByteBuf copy = bytes.retainedDuplicate();
      loop.schedule(
          () -> {
            datagrams--;
            by.writeAndFlush(new DatagramPacket(copy, to));
          },
          wait,
          TimeUnit.NANOSECONDS);
    }
    bytes.release();
  }

  private void turn(ByteBuf bytes, Links.Way way) {
    if (way.flip() > 0 && bytes.isReadable() && random.nextDouble() < way.flip()) {
      int at = bytes.readerIndex() + random.nextInt(bytes.readableBytes());
      bytes.setByte(at, bytes.getByte(at) ^ 1 << random.nextInt(Byte.SIZE));
    }
  }

  /** The faults in force have changed. */
  void changed() {
    new ArrayList<>(streams).forEach(Stream::changed);
  }

  /** Resets all streams that a fault touches, with what is on its way. */
  void sever(Fault fault) {
    for (Stream one : new ArrayList<>(streams)) {
      if (Links.touches(fault, one.from, one.to) || Links.touches(fault, one.to, one.from)) {
        one.reset();
      }
    }
  }

  /**
   * Tells whether the connection from this address has come about behind the relay, once that is
   * known; on the loop.
   *
   * @param local the address of the end that connected
   * @param then told once
   */
  void whenReached(InetSocketAddress local, Consumer<Boolean> then) {
    Boolean known = reached.remove(local);
    if (known != null) {
      then.accept(known);
    } else {
      awaited.put(local, then);
    }
  }

  /** Nobody asks for it any longer. */
  void forget(InetSocketAddress local) {
    awaited.remove(local);
    reached.remove(local);
  }

  /** How many streams are open. */
  int open() {
    return streams.size();
  }

  /** How many datagrams it did not give on. */
  int dropped() {
    return dropped;
  }

  @Override
  public void close() {
    synchronized (listeners) {
      listeners.forEach(one -> one.close().awaitUninterruptibly());
    }
  }

  /** What waits in one direction: bytes, or with none the end of the stream. */
  private record Piece(ByteBuf bytes, long due) {}

  /** A connection and the one that goes on from it. */
  private final class Stream {
    final String from;
    final String to;
    private final Channel came;
    private final InetSocketAddress target;
    private final Flow out;
    private final Flow back;
    private boolean connecting;
    private boolean over;

    Stream(String from, String to, Channel came, InetSocketAddress target) {
      this.from = from;
      this.to = to;
      this.came = came;
      this.target = target;
      out = new Flow(from, to);
      back = new Flow(to, from);
    }

    void begin() {
      streams.add(this);
      came.closeFuture().addListener(closed -> end());
      came.pipeline().addLast(out);
      out.source = came;
      back.target = came;
      connect();
    }

    /**
     * A connection needs both directions; behind a cut it waits, as its first packet would be sent
     * again.
     */
    private void connect() {
      Links.Way there = links.way(from, to);
      Links.Way here = links.way(to, from);
      if (connecting || over || there.cut() || there.swallow() || here.cut() || here.swallow()) {
        return;
      }
      connecting = true;
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.AUTO_READ, false)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
          .handler(back)
          .connect(target)
          .addListener(
              (ChannelFuture tried) -> {
                tell(tried.isSuccess());
                if (!tried.isSuccess() || over) {
                  tried.channel().close();
                  reset();
                  return;
                }
                back.source = tried.channel();
                out.target = tried.channel();
                tried.channel().closeFuture().addListener(closed -> end());
                changed();
              });
    }

    private void tell(boolean good) {
      InetSocketAddress key = (InetSocketAddress) came.remoteAddress();
      Consumer<Boolean> then = awaited.remove(key);
      if (then != null) {
        then.accept(good);
      } else if (key != null && !over) {
        reached.put(key, good);
      }
    }

    void changed() {
      if (!connecting) {
        connect();
      }
      out.flow();
      back.flow();
    }

    void reset() {
      for (Channel one : new Channel[] {came, out.target}) {
        if (one != null && one.isOpen()) {
          one.config().setOption(ChannelOption.SO_LINGER, 0);
          one.close();
        }
      }
      end();
    }

    private void end() {
      if (over) {
        return;
      }
      over = true;
      streams.remove(this);
      out.drop();
      back.drop();
      for (Channel one : new Channel[] {came, out.target}) {
        if (one != null) {
          one.close();
        }
      }
    }

    /** One direction. */
    private final class Flow extends ChannelInboundHandlerAdapter {
      private final String sender;
      private final String receiver;
      private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
      private Channel source;
      private Channel target;
      private long lastDue;
      private int bytes;
      private boolean planned;
      private boolean ended;

      Flow(String sender, String receiver) {
        this.sender = sender;
        this.receiver = receiver;
      }

      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        Links.Way way = links.way(sender, receiver);
        ByteBuf all = (ByteBuf) message;
        if (way.swallow() || over) {
          all.release();
          return;
        }
        turn(all, way);
        while (all.readableBytes() > PIECE) {
          queue(all.readRetainedSlice(PIECE), way);
        }
        queue(all, way);
        flow();
      }

      private void queue(ByteBuf piece, Links.Way way) {
        long now = System.nanoTime();
        long due =
            now
                + (long) ((way.delayMs() + way.spreadMs() * random.nextDouble()) * 1e6)
                + (random.nextDouble() < way.lose() ? RESEND : 0);
        if (way.slow() > 0) {
          due = Math.max(due, lastDue) + (long) (piece.readableBytes() / way.slow() * 1e9);
        }
        lastDue = Math.max(lastDue, due);
        bytes += piece.readableBytes();
        waiting.add(new Piece(piece, lastDue));
      }

      /** Gives on what is due, and reads on where there is room and nothing is cut. */
      void flow() {
        if (target == null || over) {
          return;
        }
        Links.Way way = links.way(sender, receiver);
        long now = System.nanoTime();
        boolean wrote = false;
        while (!way.cut()
            && !waiting.isEmpty()
            && waiting.peek().due() <= now
            && target.isWritable()) {
          Piece piece = waiting.remove();
          if (piece.bytes() == null) {
            target.flush();
            ((DuplexChannel) target).shutdownOutput();
            ended = true;
          } else {
            bytes -= piece.bytes().readableBytes();
            target.write(piece.bytes());
            wrote = true;
          }
        }
        if (wrote) {
          target.flush();
        }
        if (!way.cut() && !waiting.isEmpty() && waiting.peek().due() > now && !planned) {
          planned = true;
          loop.schedule(
              () -> {
                planned = false;
                flow();
              },
              waiting.peek().due() - now,
              TimeUnit.NANOSECONDS);
        }
        if (source != null && source.isOpen()) {
          source.config().setAutoRead(!way.cut() && bytes < MOST_WAITING && target.isWritable());
        }
        if (ended && (this == out ? back : out).ended) {
          end();
        }
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == io.netty.channel.socket.ChannelInputShutdownEvent.INSTANCE) {
          waiting.add(new Piece(null, lastDue));
          flow();
        }
      }

      @Override
      public void channelWritabilityChanged(ChannelHandlerContext context) {
        Flow other = this == out ? back : out; // what is written here was read there
        other.flow();
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset();
      }

      void drop() {
        waiting.forEach(
            one -> {
              if (one.bytes() != null) {
                one.bytes().release();
              }
            });
        waiting.clear();
      }
    }
  }
}
