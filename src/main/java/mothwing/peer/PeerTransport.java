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
 * Runs this server's membership over the network: UDP datagrams for probes, and a TCP connection
 * for each stream message such as a full exchange, both on one port. Messages leave from the listen
 * address; responses go to the address that the sender advertises. Peers are not authenticated: the
 * network is trusted. All work is done on one event loop.
 */
public final class PeerTransport implements MembershipHost {
  private static final int MAX_STREAM_MESSAGE_BYTES = 8 << 20;

  /** In both directions together; more are dropped, as the protocol tolerates lost messages. */
  private static final int MAX_OPEN_STREAMS = 64;

  private static final int MAX_DATAGRAM_BYTES = 2048;
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final long MILLI_MICROS = 1000;
  private static final long STREAM_TIMEOUT_MICROS = 10_000 * MILLI_MICROS;
  private static final long BIND_RETRY_MICROS = 250 * MILLI_MICROS;
  private static final int CONNECT_TIMEOUT_MILLIS = 2000;

  private final Site.Fleet fleet;
  private final String name;
  private final EventLoop loop;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog log;
  private final Membership membership;
  private final Set<Channel> streams = new LinkedHashSet<>();
  private Channel datagrams;
  private Channel listener;
  private boolean leaving;
  private boolean bindFailureLogged;

  /**
   * Creates a transport that has not started.
   *
   * @param fleet the settings of the fleet
   * @param name this server's name
   * @param loop the event loop of all channels
   * @param scheduler the clocks, and delayed work on the same event loop
   * @param random chooses the instance id of this process, and members to probe
   * @param counters counts messages and events
   * @param log receives the log lines
   */
  public PeerTransport(
      Site.Fleet fleet,
      String name,
      EventLoop loop,
      Scheduler scheduler,
      Random random,
      Counters counters,
      EventLog log) {
    this.fleet = fleet;
    this.name = name;
    this.loop = loop;
    this.scheduler = scheduler;
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
            scheduler,
            random,
            this);
  }

  /**
   * Binds the port and joins the fleet. While the port is still held, as by the previous process
   * during an upgrade, binding is retried and this server is not a member. On the event loop only.
   */
  public void start() {
    if (leaving) {
      return;
    }
    ChannelFuture listenerBound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    accepted.pipeline().addLast(new StreamReceiver());
                  }
                })
            .bind(fleet.listen());
    listenerBound.addListener(
        listenerResult -> {
          if (!listenerResult.isSuccess()) {
            retryBind(listenerResult.cause());
            return;
          }
          listener = listenerBound.channel();
          ChannelFuture datagramsBound =
              new Bootstrap()
                  .group(loop)
                  .channel(NioDatagramChannel.class)
                  .option(
                      ChannelOption.RCVBUF_ALLOCATOR,
                      new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                  .handler(new DatagramReceiver())
                  .bind(fleet.listen());
          datagramsBound.addListener(
              datagramsResult -> {
                if (!datagramsResult.isSuccess()) {
                  listener.close();
                  retryBind(datagramsResult.cause());
                  return;
                }
                datagrams = datagramsBound.channel();
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

  private void retryBind(Throwable cause) {
    if (!bindFailureLogged) {
      bindFailureLogged = true;
      log.write(
          "fleet-waits listen="
              + Addresses.format(fleet.listen())
              + " what=\""
              + cause.getMessage()
              + "\"");
    }
    scheduler.schedule(scheduler.now() + BIND_RETRY_MICROS, this::start);
  }

  /**
   * Announces that this server leaves the fleet, so that the others need not detect it. Messages
   * are answered until {@link #close}. On the event loop only.
   */
  public void leave() {
    if (!leaving && datagrams != null) {
      membership.leave();
    }
    leaving = true;
  }

  /** Closes all channels. On the event loop only. */
  public void close() {
    leaving = true;
    if (datagrams != null) {
      datagrams.close();
      listener.close();
    }
    Set.copyOf(streams).forEach(Channel::close);
  }

  /**
   * This server's view of the members.
   *
   * @return the current view
   */
  public MembershipView view() {
    return membership.view();
  }

  /**
   * The view for operators.
   *
   * @return values by name, to be written as JSON
   */
  public Map<String, Object> status() {
    MembershipView view = view();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("fleet", fleet.name());
    fields.put("self", name);
    fields.put("state", datagrams == null ? "waiting" : view.isolated() ? "alone" : "connected");
    fields.put("version", view.version());
    fields.put(
        "members",
        view.members().values().stream()
            .map(member -> memberStatus(member, view.flapping().contains(member.name())))
            .toList());
    return fields;
  }

  private static Map<String, Object> memberStatus(MemberRecord member, boolean flapping) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", member.name());
    fields.put("state", member.state().name().toLowerCase(Locale.ROOT));
    fields.put("address", member.address());
    fields.put("zone", member.zone());
    fields.put("start", Long.toHexString(member.instanceId()));
    fields.put("incarnation", member.incarnation());
    fields.put("by", member.reportedBy());
    fields.put("flapping", flapping);
    return fields;
  }

  @Override
  public void sendDatagram(String address, MembershipMessage message) {
    byte[] bytes = MembershipMessageCodec.encode(message);
    InetSocketAddress receiver = parseAddress(address);
    if (receiver != null) {
      counters.add("peer-datagrams-out");
      counters.add("peer-bytes-out", bytes.length);
      datagrams.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver), datagrams.voidPromise());
    }
  }

  @Override
  public void sendStream(String address, MembershipMessage message) {
    byte[] bytes = MembershipMessageCodec.encode(message);
    InetSocketAddress receiver = parseAddress(address);
    if (receiver == null) {
      return;
    } else if (streams.size() >= MAX_OPEN_STREAMS) {
      counters.add("peer-streams-over-bound");
      return;
    }
    counters.add("peer-streams-out");
    counters.add("peer-bytes-out", bytes.length + LENGTH_PREFIX_BYTES);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channelFactory(RetryingSocketChannel::new)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(receiver, new InetSocketAddress(fleet.listen().getAddress(), 0));
    trackStream(connecting.channel());
    connecting.addListener(
        result -> {
          if (result.isSuccess()) {
            connecting
                .channel()
                .writeAndFlush(
                    Unpooled.wrappedBuffer(
                        Unpooled.buffer(LENGTH_PREFIX_BYTES).writeInt(bytes.length),
                        Unpooled.wrappedBuffer(bytes)))
                .addListener(ChannelFutureListener.CLOSE);
          } else {
            counters.add("peer-streams-unreached");
          }
        });
  }

  private void trackStream(Channel stream) {
    streams.add(stream);
    stream.closeFuture().addListener(closed -> streams.remove(stream));
    scheduler.schedule(scheduler.now() + STREAM_TIMEOUT_MICROS, stream::close);
  }

  private InetSocketAddress parseAddress(String text) {
    try {
      return Addresses.parse(text, "address");
    } catch (InvalidInputException invalid) {
      counters.add("peer-bad-address");
      return null;
    }
  }

  @Override
  public void onEvent(MembershipEvent event) {
    MemberRecord member = event.record();
    counters.add("member-" + event.type().name().toLowerCase(Locale.ROOT));
    log.write(
        "member what="
            + event.type().name().toLowerCase(Locale.ROOT)
            + " name="
            + member.name()
            + " address="
            + member.address()
            + " zone="
            + member.zone()
            + " start="
            + Long.toHexString(member.instanceId())
            + " incarnation="
            + member.incarnation()
            + " by="
            + member.reportedBy()
            + " version="
            + event.version());
  }

  private void receive(byte[] bytes) {
    counters.add("peer-bytes-in", bytes.length);
    MembershipMessage message;
    try {
      message = MembershipMessageCodec.decode(bytes);
    } catch (MembershipMessageCodec.DecodeException invalid) {
      counters.add("peer-dropped-" + invalid.getMessage());
      return;
    }
    if (!message.cluster().equals(fleet.name())) {
      counters.add("peer-dropped-other-fleet");
      return;
    }
    try {
      membership.receive(message);
    } catch (RuntimeException fault) {
      counters.add("faults");
      log.write(
          "fault side=peer what=\""
              + fault
              + "\""
              + (fault.getStackTrace().length > 0 ? " at=" + fault.getStackTrace()[0] : ""));
    }
  }

  private final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      counters.add("peer-datagrams-in");
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      receive(bytes);
    }

    /** Counts channel errors, mostly unreachable receivers; probes detect those as well. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      counters.add("peer-unreachable");
    }
  }

  /** Reads one message, preceded by its length, from a stream that a peer opened. */
  private final class StreamReceiver extends SimpleChannelInboundHandler<ByteBuf> {
    private final ByteBuf received = Unpooled.buffer();

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (streams.size() >= MAX_OPEN_STREAMS) {
        counters.add("peer-streams-over-bound");
        context.close();
      } else {
        counters.add("peer-streams-in");
        trackStream(context.channel());
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf chunk) {
      received.writeBytes(chunk);
      if (received.readableBytes() < LENGTH_PREFIX_BYTES) {
        return;
      }
      int length = received.getInt(received.readerIndex());
      if (length < MembershipMessageCodec.HEADER_BYTES || length > MAX_STREAM_MESSAGE_BYTES) {
        counters.add("peer-dropped-malformed");
        context.close();
      } else if (received.readableBytes() >= LENGTH_PREFIX_BYTES + length) {
        byte[] bytes = new byte[length];
        received.skipBytes(LENGTH_PREFIX_BYTES).readBytes(bytes);
        context.close();
        receive(bytes);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
