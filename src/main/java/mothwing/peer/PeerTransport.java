package mothwing.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.membership.FailureDetectorSettings;
import mothwing.membership.MemberRecord;
import mothwing.membership.MemberState;
import mothwing.membership.Membership;
import mothwing.membership.MembershipEvent;
import mothwing.membership.MembershipHost;
import mothwing.membership.MembershipMessage;
import mothwing.membership.MembershipView;
import mothwing.net.RetryingSocketChannel;
import mothwing.settings.Addresses;
import mothwing.settings.InvalidInputException;
import mothwing.settings.Site;

/**
 * The channel between servers, and the membership that it carries: datagrams for probes, a stream
 * for each exchange of everything, both at one port. What it sends leaves from the address at which
 * it listens; answers go to where the asker says that it wants them. It trusts its network. All of
 * it happens on one event loop.
 */
public final class PeerTransport implements MembershipHost {
  /** Most bytes of a message on a stream. */
  static final int MOST_STREAM = 8 << 20;

  /** Most streams open at once, in either direction; what is more is dropped, as a network may. */
  static final int MOST_STREAMS = 64;

  private static final int MOST_DATAGRAM = 2048;
  private static final int LENGTH = 4;
  private static final long MILLI = 1000;
  private static final long STREAM_PATIENCE = 10_000 * MILLI;
  private static final long BIND_AGAIN = 250 * MILLI;
  private static final int CONNECT_MS = 2000;

  private final Site.Fleet fleet;
  private final String name;
  private final EventLoop loop;
  private final Scheduler timers;
  private final Counters counters;
  private final EventLog log;
  private final Membership membership;
  private final Set<Channel> streams = new LinkedHashSet<>();
  private Channel datagrams;
  private Channel listener;
  private boolean leaving;
  private boolean complained;

  /**
   * Wires one that is not started yet.
   *
   * @param fleet what the settings say
   * @param name this server's name
   * @param loop the thread of it all
   * @param timers the clocks
   * @param random chooses whom to probe, and this start's id
   * @param counters counts what happens
   * @param log takes lines of the log
   */
  public PeerTransport(
      Site.Fleet fleet,
      String name,
      EventLoop loop,
      Scheduler timers,
      Random random,
      Counters counters,
      EventLog log) {
    this.fleet = fleet;
    this.name = name;
    this.loop = loop;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    MemberRecord self =
        new MemberRecord(
            name,
            random.nextLong() >>> 1,
            Addresses.format(fleet.advertise()),
            fleet.zone(),
            0,
            MemberState.ALIVE,
            name);
    membership =
        new Membership(
            fleet.name(),
            self,
            fleet.seeds().stream().map(Addresses::format).toList(),
            FailureDetectorSettings.DEFAULTS,
            timers,
            random,
            this);
  }

  /**
   * Begins. Where its address is taken, by the process before it in an upgrade, it tries again
   * until that has left; it belongs to nobody until then. On the event loop only.
   */
  public void start() {
    if (leaving) {
      return;
    }
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel came) {
                    came.pipeline().addLast(new Incoming());
                  }
                })
            .bind(fleet.listen());
    bound.addListener(
        done -> {
          if (!done.isSuccess()) {
            again(done.cause());
            return;
          }
          listener = bound.channel();
          ChannelFuture second =
              new Bootstrap()
                  .group(loop)
                  .channel(NioDatagramChannel.class)
                  .option(
                      ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_DATAGRAM))
                  .handler(new Datagrams())
                  .bind(fleet.listen());
          second.addListener(
              also -> {
                if (!also.isSuccess()) {
                  listener.close();
                  again(also.cause());
                  return;
                }
                datagrams = second.channel();
                log.write(
                    "fleet-joins fleet="
                        + fleet.name()
                        + " listen="
                        + Addresses.format(fleet.listen())
                        + " advertise="
                        + Addresses.format(fleet.advertise())
                        + " seeds="
                        + fleet.seeds().size()
                        + " zone="
                        + fleet.zone());
                membership.start();
              });
        });
  }

  private void again(Throwable why) {
    if (!complained) {
      complained = true;
      log.write(
          "fleet-waits listen="
              + Addresses.format(fleet.listen())
              + " what=\""
              + why.getMessage()
              + "\"");
    }
    timers.schedule(timers.now() + BIND_AGAIN, this::start);
  }

  /**
   * Withdraws, so that others need not find out; it answers on until {@link #close}. On the event
   * loop only.
   */
  public void leave() {
    if (!leaving && datagrams != null) {
      membership.leave();
    }
    leaving = true;
  }

  /** Ends it. On the event loop only. */
  public void close() {
    leaving = true;
    if (datagrams != null) {
      datagrams.close();
      listener.close();
    }
    Set.copyOf(streams).forEach(Channel::close);
  }

  /**
   * What it holds of all members.
   *
   * @return the view, with the latest changes
   */
  public MembershipView view() {
    return membership.view();
  }

  /**
   * The view as operators are told it.
   *
   * @return names with values, for JSON
   */
  public Map<String, Object> status() {
    MembershipView view = view();
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("fleet", fleet.name());
    all.put("self", name);
    all.put("state", datagrams == null ? "waiting" : view.isolated() ? "alone" : "connected");
    all.put("version", view.version());
    all.put(
        "members",
        view.members().values().stream()
            .map(one -> told(one, view.flapping().contains(one.name())))
            .toList());
    return all;
  }

  private static Map<String, Object> told(MemberRecord one, boolean flaps) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("name", one.name());
    all.put("state", one.state().name().toLowerCase(Locale.ROOT));
    all.put("address", one.address());
    all.put("zone", one.zone());
    all.put("start", Long.toHexString(one.instanceId()));
    all.put("incarnation", one.incarnation());
    all.put("by", one.reportedBy());
    all.put("flapping", flaps);
    return all;
  }

  // what the core asks for

  @Override
  public void sendDatagram(String address, MembershipMessage message) {
    byte[] bytes = MembershipMessageCodec.encode(message);
    InetSocketAddress to = address(address);
    if (to != null) {
      counters.add("peer-datagrams-out");
      counters.add("peer-bytes-out", bytes.length);
      datagrams.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), datagrams.voidPromise());
    }
  }

  @Override
  public void sendStream(String address, MembershipMessage message) {
    byte[] bytes = MembershipMessageCodec.encode(message);
    InetSocketAddress to = address(address);
    if (to == null) {
      return;
    } else if (streams.size() >= MOST_STREAMS) {
      counters.add("peer-streams-over-bound");
      return;
    }
    counters.add("peer-streams-out");
    counters.add("peer-bytes-out", bytes.length + LENGTH);
    ChannelFuture tried =
        new Bootstrap()
            .group(loop)
            .channelFactory(RetryingSocketChannel::new)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(to, new InetSocketAddress(fleet.listen().getAddress(), 0));
    kept(tried.channel());
    tried.addListener(
        done -> {
          if (done.isSuccess()) {
            tried
                .channel()
                .writeAndFlush(
                    Unpooled.wrappedBuffer(
                        Unpooled.buffer(LENGTH).writeInt(bytes.length),
                        Unpooled.wrappedBuffer(bytes)))
                .addListener(ChannelFutureListener.CLOSE);
          } else {
            counters.add("peer-streams-unreached");
          }
        });
  }

  private void kept(Channel one) {
    streams.add(one);
    one.closeFuture().addListener(closed -> streams.remove(one));
    timers.schedule(timers.now() + STREAM_PATIENCE, one::close);
  }

  private InetSocketAddress address(String text) {
    try {
      return Addresses.parse(text, "address");
    } catch (InvalidInputException bad) {
      counters.add("peer-bad-address");
      return null;
    }
  }

  @Override
  public void onEvent(MembershipEvent change) {
    MemberRecord of = change.record();
    counters.add("member-" + change.type().name().toLowerCase(Locale.ROOT));
    log.write(
        "member what="
            + change.type().name().toLowerCase(Locale.ROOT)
            + " name="
            + of.name()
            + " address="
            + of.address()
            + " zone="
            + of.zone()
            + " start="
            + Long.toHexString(of.instanceId())
            + " incarnation="
            + of.incarnation()
            + " by="
            + of.reportedBy()
            + " version="
            + change.version());
  }

  // what comes

  private void received(byte[] bytes) {
    counters.add("peer-bytes-in", bytes.length);
    MembershipMessage message;
    try {
      message = MembershipMessageCodec.decode(bytes);
    } catch (MembershipMessageCodec.Bad bad) {
      counters.add("peer-dropped-" + bad.getMessage());
      return;
    }
    if (!message.cluster().equals(fleet.name())) {
      counters.add("peer-dropped-other-fleet");
      return;
    }
    try {
      membership.receive(message);
    } catch (RuntimeException broken) {
      counters.add("faults");
      log.write(
          "fault side=peer what=\""
              + broken
              + "\""
              + (broken.getStackTrace().length > 0 ? " at=" + broken.getStackTrace()[0] : ""));
    }
  }

  private final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      counters.add("peer-datagrams-in");
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      received(bytes);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable refused) {
      counters.add(
          "peer-unreachable"); // the kernel's word that nobody is there: silence says it as well
    }
  }

  /** A stream that another opened: its length, and the message. */
  private final class Incoming extends SimpleChannelInboundHandler<ByteBuf> {
    private final ByteBuf gathered = Unpooled.buffer();

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (streams.size() >= MOST_STREAMS) {
        counters.add("peer-streams-over-bound");
        context.close();
      } else {
        counters.add("peer-streams-in");
        kept(context.channel());
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf some) {
      gathered.writeBytes(some);
      if (gathered.readableBytes() < LENGTH) {
        return;
      }
      int length = gathered.getInt(gathered.readerIndex());
      if (length < MembershipMessageCodec.HEAD || length > MOST_STREAM) {
        counters.add("peer-dropped-malformed");
        context.close();
      } else if (gathered.readableBytes() >= LENGTH + length) {
        byte[] bytes = new byte[length];
        gathered.skipBytes(LENGTH).readBytes(bytes);
        context.close();
        received(bytes);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable broken) {
      context.close();
    }
  }
}
