package mothwing.trial;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import mothwing.broker.Scheduler;
import mothwing.trial.History.End;

/**
 * Carries what gateways send over FastCGI, each gateway from an address of its own, through the
 * relay.
 */
final class GatewaySockets implements Wire {
  private static final int MOST_OPEN = 32;
  private static final int MOST_IDS = 60_000;
  private static final long CROSSING =
      50_000; // microseconds in which a request may cross the close of its connection
  private static final long CHECK_WAIT = 2_000_000;
  private static final int REFUSED = 503;
  private static final int REFUSED_FOR_RATE = 429;
  private static final int GOOD = 200;

  private final EventLoop loop;
  private final Scheduler timers;
  private final Relay relay;
  private final Map<String, InetAddress> gateways;
  private final Map<String, InetSocketAddress> servers = new HashMap<>();
  private final Map<String, List<Link>> links = new LinkedHashMap<>();
  private final Map<String, Sent> open = new HashMap<>();

  /** A try on a connection. */
  private static final class Sent {
    final String gateway;
    final String server;
    final Ask ask;
    final Consumer<Reply> then;
    final boolean again;
    long sentAt;
    int id;
    Link link;

    Sent(String gateway, String server, Ask ask, Consumer<Reply> then, boolean again) {
      this.gateway = gateway;
      this.server = server;
      this.ask = ask;
      this.then = then;
      this.again = again;
    }
  }

  GatewaySockets(EventLoop loop, Scheduler timers, Relay relay, Map<String, InetAddress> gateways) {
    this.loop = loop;
    this.timers = timers;
    this.relay = relay;
    this.gateways = gateways;
  }

  /** Where gateways reach a server: the relay in its place. */
  void server(String name, InetSocketAddress at) {
    servers.put(name, at);
  }

  private static String pair(String gateway, String server) {
    return gateway + ">" + server;
  }

  @Override
  public void ask(String gateway, String server, Ask ask, Consumer<Reply> then) {
    send(new Sent(gateway, server, ask, then, false));
  }

  private void send(Sent one) {
    List<Link> all =
        links.computeIfAbsent(pair(one.gateway, one.server), none -> new ArrayList<>());
    Link link = null;
    for (Link able : all) {
      if (able.usable() && (link == null || able.owed.size() < link.owed.size())) {
        link = able;
      }
    }
    if (link == null) {
      link = new Link(one.gateway, one.server);
      all.add(link);
      link.connect();
    }
    one.link = link;
    open.put(one.ask.trace(), one);
    link.take(one);
  }

  @Override
  public void leave(String gateway, String server, String trace) {
    Sent one = open.remove(trace);
    if (one != null) {
      one.link.leave(one);
    }
  }

  @Override
  public void check(String gateway, String server, Consumer<Boolean> then) {
    new Ping(gateway, server, then).connect();
  }

  /** Connections to a server on which nothing is open and nothing has ended since a moment. */
  int idle(String server, long since) {
    int many = 0;
    for (List<Link> all : links.values()) {
      for (Link one : all) {
        many +=
            one.server.equals(server)
                    && one.reached
                    && one.channel.isActive()
                    && one.owed.isEmpty()
                    && one.lastAt < since
                ? 1
                : 0;
      }
    }
    return many;
  }

  /** A connection, and what its gateway knows of it. */
  private class Link extends ChannelInboundHandlerAdapter {
    final String gateway;
    final String server;
    final Map<Integer, Sent> owed = new LinkedHashMap<>();
    final Map<Integer, Sent> answered = new HashMap<>();
    final List<Sent> early = new ArrayList<>();
    final mothwing.trial.Gateway.FastCgi codec = new mothwing.trial.Gateway.FastCgi();
    Channel channel;
    boolean reached;
    long lastAt;
    private int ids;
    private boolean ended;

    Link(String gateway, String server) {
      this.gateway = gateway;
      this.server = server;
    }

    boolean usable() {
      return !ended && owed.size() < MOST_OPEN && ids < MOST_IDS && !codec.refusesReuse;
    }

    void connect() {
      ChannelFuture tried =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(this)
              .connect(servers.get(server), new InetSocketAddress(gateways.get(gateway), 0));
      channel = tried.channel();
      tried.addListener(
          done -> {
            if (!done.isSuccess()) {
              end();
              return;
            }
            InetSocketAddress local = (InetSocketAddress) channel.localAddress();
            channel.closeFuture().addListener(closed -> relay.forget(local));
            relay.whenReached(
                local,
                good -> {
                  reached = good;
                  if (good) {
                    begun();
                  } else {
                    channel.close();
                    end();
                  }
                });
          });
    }

    void begun() {
      early.forEach(this::write);
      early.clear();
    }

    void take(Sent one) {
      one.id = ++ids;
      owed.put(one.id, one);
      if (reached) {
        write(one);
      } else {
        early.add(one);
      }
    }

    private void write(Sent one) {
      one.sentAt = timers.now();
      Map<String, String> fields =
          mothwing.trial.Gateway.fields(one.ask.trace(), one.ask.acceptedAtMs());
      fields.put("Standing", Fault.number(one.ask.rank()));
      if (one.ask.again()) {
        fields.put("Is-Retry", "1");
      }
      channel.writeAndFlush(
          Unpooled.wrappedBuffer(
              codec.request(one.id, "/call/" + one.ask.kind(), "", fields, one.ask.body())));
    }

    void leave(Sent one) {
      owed.remove(one.id);
      early.remove(one);
      if (reached && !ended) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(mothwing.trial.Gateway.FastCgi.abort(one.id)));
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf in = (ByteBuf) message;
      byte[] bytes = new byte[in.readableBytes()];
      in.readBytes(bytes);
      in.release();
      try {
        codec.receive(bytes);
      } catch (RuntimeException unreadable) {
        channel.close();
        return;
      }
      for (Answer answer = codec.answers.poll(); answer != null; answer = codec.answers.poll()) {
        came(answer);
      }
    }

    void came(Answer answer) {
      lastAt = timers.now();
      Sent one = owed.remove(answer.id());
      if (one != null) {
        open.remove(one.ask.trace());
        answered.put(answer.id(), one);
      } else {
        one = answered.get(answer.id());
      }
      if (one != null) {
        one.then.accept(reply(answer));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      end();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    void end() {
      if (ended) {
        return;
      }
      ended = true;
      List<Link> all = links.get(pair(gateway, server));
      if (all != null) {
        all.remove(this);
      }
      boolean used = lastAt > 0;
      List<Sent> lost = new ArrayList<>(owed.values());
      owed.clear();
      for (Sent one : lost) {
        open.remove(one.ask.trace());
        if (reached && used && !one.again && timers.now() - one.sentAt <= CROSSING) {
          send(new Sent(one.gateway, one.server, one.ask, one.then, true));
        } else {
          one.then.accept(Reply.bare(reached ? End.LOST : End.UNREACHED));
        }
      }
    }
  }

  /** A health check, on a connection of its own. */
  private final class Ping extends Link {
    private Consumer<Boolean> then;

    Ping(String gateway, String server, Consumer<Boolean> then) {
      super(gateway, server);
      this.then = then;
      timers.schedule(timers.now() + CHECK_WAIT, () -> tell(false));
    }

    private void tell(boolean good) {
      if (then != null) {
        Consumer<Boolean> once = then;
        then = null;
        once.accept(good);
        channel.close();
      }
    }

    @Override
    void begun() {
      channel.writeAndFlush(
          Unpooled.wrappedBuffer(codec.request(1, "/ping", "", Map.of(), new byte[0])));
    }

    @Override
    void came(Answer answer) {
      tell(answer.status() == GOOD);
    }

    @Override
    void end() {
      tell(false);
    }
  }

  private static Reply reply(Answer answer) {
    String wait = answer.fields().getOrDefault("Hold-Off-Ms", "0");
    boolean refused = answer.status() == REFUSED || answer.status() == REFUSED_FOR_RATE;
    return new Reply(
        answer.status() == GOOD ? End.SERVED : refused ? End.REFUSED : End.FAILED,
        wait.matches("[0-9]{1,9}") ? Long.parseLong(wait) : 0,
        !answer.fields().containsKey("No-Other-Server"),
        answer.content());
  }
}
