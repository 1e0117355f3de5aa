package mothwing.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import mothwing.broker.Counters;
import mothwing.broker.Scheduler;

/**
 * Accepts the connections of one front up to a limit, and closes those that are idle or time out.
 * At the limit a new connection evicts one without an open request: clients that never sent a
 * complete request are evicted before identified gateways.
 */
public final class Listener {
  /** Delay between attempts to bind when the system is short of resources. */
  private static final int BIND_RETRY_MILLIS = 50;

  private static final int MAX_BIND_ATTEMPTS = 60;
  private static final int BACKLOG_CONNECTIONS = 512;
  private static final int LOW_WATER_BYTES = 32 << 10;
  private static final int HIGH_WATER_BYTES = 64 << 10;
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 8192;

  /** Enough for as many requests as may be open on a connection, and for the end of the stream. */
  private static final int MAX_READS_PER_PASS = 16;

  private final Supplier<? extends Connection> factory;
  private final int maxConnections;
  private final Counters counters;
  private final String side;
  private final Scheduler scheduler;
  private final ConnectionTable table;
  private AcceptingChannel channel;
  private boolean shared;
  private SharedPortQuota quota;
  private boolean pollInProgress;
  private ReadBudget readBudget;
  private ReadAhead readAhead;
  private ConnectionMemory memory;

  /**
   * Creates a listener that does not listen yet.
   *
   * @param side its name in counters
   * @param factory creates the state of a new connection
   * @param maxConnections most open connections
   * @param peerTimeout microseconds after which a peer that sends nothing, stops in the middle of a
   *     request or does not read is disconnected
   * @param scheduler the clock and timers
   * @param counters the counters to increment
   */
  public Listener(
      String side,
      Supplier<? extends Connection> factory,
      int maxConnections,
      long peerTimeout,
      Scheduler scheduler,
      Counters counters) {
    this.side = side;
    this.factory = factory;
    this.maxConnections = maxConnections;
    this.scheduler = scheduler;
    table = new ConnectionTable(peerTimeout, scheduler);
    this.counters = counters;
  }

  /**
   * Allows another process of the same user to listen at the address, if it shares the address too.
   */
  public void shareAddress() {
    shared = true;
  }

  /**
   * Sets the budget that bounds how long the connections read in one turn of the event loop. With a
   * budget, input is decoded once its socket has been read to the end.
   *
   * @param budget the budget, shared by all listeners of an event loop
   */
  public void setReadBudget(ReadBudget budget) {
    readBudget = budget;
    readAhead = new ReadAhead();
  }

  /**
   * Sets the account that bounds the memory of the connections.
   *
   * @param account the account, shared by all listeners of an event loop
   */
  public void setMemory(ConnectionMemory account) {
    memory = account;
  }

  /**
   * Starts to listen.
   *
   * @param loop the event loop of the listener and its connections
   * @param allocator the buffer allocator
   * @param address the address to bind
   * @return completes once the address is bound, and fails if it cannot be: at once if the address
   *     is in use, after some seconds of retries if the system is short of resources
   */
  public Future<Void> listen(
      EventLoop loop, ByteBufAllocator allocator, InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(
                () -> new AcceptingChannel(name -> counters.add(side + "-" + name), table::evict))
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, receiveBufferAllocator())
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
      quota = new SharedPortQuota(maxConnections, scheduler.now());
      bootstrap
          .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
          // accepts nothing until the first poll shows whether another process listens
          .option(ChannelOption.AUTO_READ, false);
    }
    Promise<Void> result = loop.newPromise();
    bind(loop, bootstrap, address, result, MAX_BIND_ATTEMPTS);
    return result;
  }

  /**
   * Reads each socket until it is empty, so that the end of the stream is seen in the same pass.
   */
  private static RecvByteBufAllocator receiveBufferAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_PASS);
  }

  private void bind(
      EventLoop loop,
      ServerBootstrap bootstrap,
      InetSocketAddress address,
      Promise<Void> result,
      int attempts) {
    ChannelFuture bound = bootstrap.bind(address);
    bound.addListener(
        done ->
            loop.execute(
                () -> {
                  if (done.isSuccess()) {
                    channel = (AcceptingChannel) bound.channel();
                    result.setSuccess(null);
                    pollSharedPort();
                  } else if (done.cause() instanceof BindException || attempts <= 1) {
                    result.setFailure(done.cause());
                  } else {
                    counters.add(side + "-bind-retries");
                    loop.schedule(
                        () -> bind(loop, bootstrap, address, result, attempts - 1),
                        BIND_RETRY_MILLIS,
                        TimeUnit.MILLISECONDS);
                  }
                }));
  }

  private int connectionLimit() {
    return quota == null ? maxConnections : Math.max(1, quota.limit(scheduler.now()));
  }

  /**
   * Evicts connections down to the quota of this process, and polls whether another process listens
   * at the address if that may affect the quota. Does nothing unless the address is shared. Must be
   * called every few milliseconds, on the event loop.
   */
  public void pollSharedPort() {
    if (quota == null || !channel.isOpen() || channel.localAddress() == null) {
      return;
    }
    for (int over = quota.excess(scheduler.now(), table.size()); over > 0; over--) {
      table.evict();
    }
    channel.config().setAutoRead(quota.limit(scheduler.now()) > 0);
    long now = scheduler.now();
    if (!pollInProgress && quota.isPollDue(now, table.size())) {
      pollInProgress = true;
      startPoll(now, table.size());
    }
  }

  /** Reads the socket table on another thread, since it may be long. */
  private void startPoll(long startedAt, int ownConnections) {
    InetSocketAddress address = channel.localAddress();
    EventLoop loop = channel.eventLoop();
    GlobalEventExecutor.INSTANCE.execute(
        () -> {
          Optional<SocketTable> sockets = readSocketTable(address);
          loop.execute(
              () -> pollFinished(startedAt, Math.min(ownConnections, table.size()), sockets));
        });
  }

  private static Optional<SocketTable> readSocketTable(InetSocketAddress address) {
    try {
      return Optional.of(SocketTable.read(address, SocketTable.TABLES));
    } catch (IOException | UncheckedIOException unreadable) { // the tables exist only on Linux
      return Optional.empty();
    }
  }

  private void pollFinished(long startedAt, int ownConnections, Optional<SocketTable> sockets) {
    pollInProgress = false;
    if (sockets.isEmpty()) {
      counters.add(side + "-socket-table-unreadable");
      quota.assumeAlone();
    } else {
      SocketTable table = sockets.get();
      quota.update(startedAt, table.listeners() > 1, table.connections() - ownConnections);
    }
    pollSharedPort();
  }

  private void accept(Channel accepted) {
    if (table.size() >= connectionLimit()) {
      pollSharedPort(); // the quota may have risen
      table.evict();
    }
    if (table.size() >= connectionLimit()) {
      counters.add(side + "-rejected-at-limit");
      accepted.close();
      return;
    }
    Connection connection = factory.get();
    connection.input().setBudget(readBudget);
    connection.input().setReadAhead(readAhead);
    table.add(connection);
    memory.add(connection);
    accepted.closeFuture().addListener(closed -> remove(connection));
    accepted.pipeline().addLast(connection);
  }

  private void remove(Connection connection) {
    table.remove(connection);
    memory.remove(connection);
  }

  /**
   * Returns the bound address.
   *
   * @return the address, with the assigned port
   */
  public InetSocketAddress address() {
    return channel.localAddress();
  }

  /**
   * Returns the number of connections that hold a file descriptor: those that are open, and those
   * that await the peer's close.
   *
   * @return the number of connections
   */
  public int connectionCount() {
    return table.descriptorCount();
  }

  /**
   * Closes connections that have been idle for too long, and those whose peer has timed out. Must
   * be called every few milliseconds.
   *
   * @param idleLimit microseconds; 0 closes all without an open or incomplete request
   * @param reason why idle connections are closed
   */
  public void closeExpired(long idleLimit, CloseReason reason) {
    table.closeExpired(idleLimit, reason);
  }

  /**
   * Stops listening after accepting the connections in the backlog. On the event loop only.
   *
   * @param onStopped called once the listener has stopped
   */
  public void stop(Runnable onStopped) {
    channel.closeAfterBacklog(onStopped);
  }
}
