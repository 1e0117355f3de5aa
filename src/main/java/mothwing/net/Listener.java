package mothwing.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import mothwing.broker.Counters;
import mothwing.broker.Scheduler;

/**
 * Accepts the connections of one front: no more than a bound, the idle ones closed after a span,
 * and those with nothing open closed once the process is leaving. At the bound a new connection
 * takes the place of one on which nothing is open: of a stranger, which never asked anything whole,
 * before that of a gateway.
 */
public final class Listener {
  /** Accepts in a row that may fail, or find nobody, before it is believed. */
  private static final int MAX_FAILED_ACCEPTS = 10;

  /** Milliseconds between tries to listen where the system has no room for a moment. */
  private static final int BIND_RETRY_MILLIS = 50;

  private static final int MAX_BIND_ATTEMPTS = 60;
  private static final int BACKLOG_CONNECTIONS = 512;
  private static final int LOW_WATER_BYTES = 32 << 10;
  private static final int HIGH_WATER_BYTES = 64 << 10;
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 8192;

  private final Supplier<? extends Connection> maker;
  private final int maxConnections;
  private final Counters counters;
  private final String side;
  private final Scheduler timers;
  private final ConnectionTable table;
  private AcceptingChannel channel;
  private boolean shared;
  private SharedPortQuota quota;
  private boolean pollInProgress;
  private ReadBudget readBudget;

  /** A listening socket that can be closed without losing who waits at it. */
  private final class AcceptingChannel extends NioServerSocketChannel {
    private int failedInARow;

    /**
     * Where no descriptor is left, below the bound as it may be, somebody gives way, and who waits
     * is accepted a second later: the runtime rests for so long after a failure, so that nothing
     * turns in circles. Any other failure of a moment costs one turn of the loop.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      try {
        SocketChannel one = javaChannel().accept();
        failedInARow = 0;
        return one == null || !taken(one, accepted) ? 0 : 1;
      } catch (IOException none) {
        counters.add(side + "-not-accepted");
        if (outOfDescriptors(none)) {
          table.evict();
          throw none;
        }
        if (++failedInARow > MAX_FAILED_ACCEPTS) {
          throw none;
        }
        return 0;
      }
    }

    private boolean taken(SocketChannel one, List<Object> accepted) throws IOException {
      try {
        return accepted.add(new RetryingSocketChannel(this, one));
      } catch (RuntimeException gone) { // it was reset meanwhile
        one.close();
        return false;
      }
    }

    /**
     * Takes all that waits and closes, with nothing between. The runtime puts off the close of a
     * channel that its selector holds, and what connects meanwhile is reset; so it is taken out
     * first, and a select lets go of it.
     *
     * @param then what to do once it is closed
     */
    void closeEmptied(Runnable then) {
      deregister()
          .addListener(
              out ->
                  eventLoop()
                      .schedule(
                          () -> {
                            List<SocketChannel> waiting = new ArrayList<>();
                            try (ServerSocketChannel last =
                                javaChannel()) { // closed before anything is made of who waited
                              takeAll(last, waiting);
                            } catch (IOException over) {
                              counters.add(
                                  side + "-not-emptied"); // no descriptor is left: the close turns
                              // away who waits
                            }
                            waiting.forEach(
                                one ->
                                    pipeline()
                                        .fireChannelRead(new RetryingSocketChannel(this, one)));
                            close();
                            then.run();
                          },
                          1,
                          TimeUnit.MILLISECONDS));
    }

    /**
     * Takes all that waits; an accept may be interrupted or fail for a moment with others still
     * waiting behind it.
     */
    private void takeAll(ServerSocketChannel last, List<SocketChannel> waiting) throws IOException {
      for (int inARow = 0; inARow < MAX_FAILED_ACCEPTS; ) {
        try {
          SocketChannel one = last.accept();
          inARow = one == null ? inARow + 1 : 0;
          if (one != null) {
            waiting.add(one);
          }
        } catch (IOException failed) {
          inARow++;
          if (outOfDescriptors(failed) && inARow == MAX_FAILED_ACCEPTS) {
            throw failed;
          }
        }
      }
    }
  }

  /**
   * Makes a listener that does not listen yet.
   *
   * @param side its name in counters
   * @param maker makes the state of a new connection
   * @param most most connections at once
   * @param patience microseconds after which who says nothing, stops in the middle of a request or
   *     does not read is closed
   * @param timers the clocks
   * @param counters counts what happens
   */
  public Listener(
      String side,
      Supplier<? extends Connection> maker,
      int most,
      long patience,
      Scheduler timers,
      Counters counters) {
    this.side = side;
    this.maker = maker;
    this.maxConnections = most;
    this.timers = timers;
    table = new ConnectionTable(patience, timers);
    this.counters = counters;
  }

  /** Lets another process of the same user listen at the same address, which must do the same. */
  public void shareAddress() {
    shared = true;
  }

  /**
   * Lets its connections take what was sent in turns.
   *
   * @param all the turns, one for all listeners of a loop
   */
  public void limitReads(ReadBudget all) {
    readBudget = all;
  }

  /**
   * Begins to listen.
   *
   * @param loop the thread of it all
   * @param allocator gives buffers
   * @param address where to listen
   * @return done once it listens, or cannot: at once where the address is taken, after some seconds
   *     of tries where the system has no room
   */
  public Future<Void> listen(
      EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(AcceptingChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RCVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    accept(accepted);
                  }
                });
    if (shared) {
      quota = new SharedPortQuota(maxConnections, timers.now());
      bootstrap
          .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
          .option(ChannelOption.AUTO_READ, false); // until it knows who else is there
    }
    Promise<Void> result = loop.newPromise();
    bind(loop, bootstrap, address, result, MAX_BIND_ATTEMPTS);
    return result;
  }

  private void bind(
      EventLoop loop,
      ServerBootstrap bootstrap,
      InetSocketAddress address,
      Promise<Void> result,
      int tries) {
    ChannelFuture bound = bootstrap.bind(address);
    bound.addListener(
        done ->
            loop.execute(
                () -> {
                  if (done.isSuccess()) {
                    channel = (AcceptingChannel) bound.channel();
                    result.setSuccess(null);
                    pollSharedPort();
                  } else if (done.cause() instanceof BindException || tries <= 1) {
                    result.setFailure(done.cause());
                  } else {
                    counters.add(side + "-listened-again");
                    loop.schedule(
                        () -> bind(loop, bootstrap, address, result, tries - 1),
                        BIND_RETRY_MILLIS,
                        TimeUnit.MILLISECONDS);
                  }
                }));
  }

  /** Whether a system call failed as this process, or the machine, has no descriptor left. */
  private static boolean outOfDescriptors(IOException failure) {
    return failure.getMessage() != null && failure.getMessage().contains("Too many open files");
  }

  private int connectionLimit() {
    return quota == null ? maxConnections : Math.max(1, quota.limit(timers.now()));
  }

  /**
   * Where the address may be shared: looks whether another process is there, if that may matter
   * now, and makes room down to what is left to this one. To be called every few milliseconds, on
   * the event loop.
   */
  public void pollSharedPort() {
    if (quota == null || !channel.isOpen() || channel.localAddress() == null) {
      return;
    }
    for (int over = quota.excess(timers.now(), table.size()); over > 0; over--) {
      table.evict();
    }
    channel.config().setAutoRead(quota.limit(timers.now()) > 0);
    long at = timers.now();
    if (pollInProgress || !quota.isPollDue(at, table.size())) {
      return;
    }
    pollInProgress = true;
    int own = table.size();
    InetSocketAddress address = channel.localAddress();
    GlobalEventExecutor.INSTANCE.execute(
        () -> { // the list may be long
          SocketTable seen = null;
          try {
            seen = SocketTable.at(address, SocketTable.LISTS);
          } catch (IOException | UncheckedIOException none) {
            seen = null; // not Linux, or not to be read: it goes on as if alone
          }
          SocketTable said = seen;
          channel.eventLoop().execute(() -> polled(at, Math.min(own, table.size()), said));
        });
  }

  private void polled(long at, int own, SocketTable seen) {
    pollInProgress = false;
    if (seen == null) {
      counters.add(side + "-no-list-of-sockets");
      quota.assumeAlone();
    } else {
      quota.update(at, seen.listeners() > 1, seen.connections() - own);
    }
    pollSharedPort();
  }

  private void accept(Channel accepted) {
    if (table.size() >= connectionLimit()) {
      pollSharedPort(); // it may be alone, and have more
      table.evict();
    }
    if (table.size() >= connectionLimit()) {
      counters.add(side + "-over-bound");
      accepted.close();
      return;
    }
    Connection connection = maker.get();
    connection.limitReads(readBudget);
    table.add(connection);
    accepted.closeFuture().addListener(closed -> table.remove(connection));
    accepted.pipeline().addLast(connection);
  }

  /**
   * Where it listens.
   *
   * @return the address, with the port that was given
   */
  public InetSocketAddress address() {
    return channel.localAddress();
  }

  /**
   * How many connections hold a descriptor: those that are open, and those that wait for the other
   * side's close.
   *
   * @return their number
   */
  public int open() {
    return table.descriptors();
  }

  /**
   * Closes what was idle for longer than a span, and who says nothing, stops in the middle of a
   * request or does not read: each would hold its place for ever. To be called every few
   * milliseconds.
   *
   * @param span microseconds; 0 closes all that has nothing open
   * @param why the reason
   */
  public void trim(long span, CloseReason why) {
    table.trim(span, why);
  }

  /**
   * Accepts no further connections, but for those that wait already. On the event loop only.
   *
   * @param then what to do once it does not listen any longer
   */
  public void stop(Runnable then) {
    channel.closeEmptied(then);
  }
}
