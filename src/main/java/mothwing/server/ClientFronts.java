package mothwing.server;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import mothwing.ajp.AjpConnection;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ConnectionMemory;
import mothwing.net.Listener;
import mothwing.net.ReadBudget;

/**
 * The listeners for clients: binds them, at once or when the server is ready, and tracks which of
 * them are bound. A stop waits for binds in progress, since a client that connects at that moment
 * must be answered too. Used on the event loop's thread, except {@link #listen}, {@link #bind}, and
 * the setup before them.
 */
final class ClientFronts {
  /** Gateways may take 2 s to send a request; misbehaving clients are disconnected within 3 s. */
  private static final long CLIENT_TIMEOUT_MICROS = 2_500_000;

  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog log;
  private final List<Front> fronts = new ArrayList<>();
  private final List<Listener> listening = new CopyOnWriteArrayList<>();

  /** Binds in progress; the start of the server counts as one. */
  private int pendingBinds = 1;

  private boolean stopped;
  private Runnable onStopped = () -> {};

  private record Front(Listener listener, InetSocketAddress address) {}

  /**
   * Creates an instance without fronts.
   *
   * @param loop the event loop of all connections
   * @param allocator the buffer allocator
   * @param scheduler the clock and timers
   * @param counters the counters to increment
   * @param log the event log
   */
  ClientFronts(
      EventLoop loop,
      ByteBufAllocator allocator,
      Scheduler scheduler,
      Counters counters,
      EventLog log) {
    this.loop = loop;
    this.allocator = allocator;
    this.scheduler = scheduler;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Creates the fronts of a server, which share the file descriptors, the read budget and the
   * memory.
   *
   * @param config the configuration
   * @param ajp the address for AJP, or null to disable it
   * @param broker handles the requests
   * @param memory the account of the memory that the connections share
   */
  void open(Config config, InetSocketAddress ajp, Broker broker, ConnectionMemory memory) {
    int descriptors = FileDescriptorBudget.limitFor(config.sockets());
    int reserved = FileDescriptorBudget.reserved(descriptors, FileDescriptorBudget.openNow());
    int maxConnections = Math.max(1, (descriptors - reserved) / (ajp == null ? 1 : 2));
    add(
        listener("fastcgi", () -> new FastCgiConnection(broker, log, counters), maxConnections),
        config.listen());
    if (ajp != null) {
      add(listener("ajp", () -> new AjpConnection(broker, log, counters), maxConnections), ajp);
    }
    ReadBudget budget = new ReadBudget(scheduler);
    broker.setOverloadCheck(budget::shedNext);
    for (Front front : fronts) {
      front.listener().setReadBudget(budget);
      front.listener().setMemory(memory);
    }
  }

  private Listener listener(String side, Supplier<Connection> factory, int maxConnections) {
    return new Listener(side, factory, maxConnections, CLIENT_TIMEOUT_MICROS, scheduler, counters);
  }

  /** Adds a front and the address that it is to bind. */
  void add(Listener listener, InetSocketAddress address) {
    fronts.add(new Front(listener, address));
  }

  /** Allows another process to listen at the same addresses. */
  void shareAddresses() {
    fronts.forEach(front -> front.listener().shareAddress());
  }

  /**
   * Binds all fronts, on the caller's thread.
   *
   * @throws ListenException if an address cannot be bound
   */
  void listen() throws ListenException {
    for (Front front : fronts) {
      bind(front.listener(), front.address());
      listening.add(front.listener());
    }
  }

  /**
   * Binds one listener, on the caller's thread.
   *
   * @throws ListenException if the address cannot be bound
   */
  void bind(Listener listener, InetSocketAddress address) throws ListenException {
    Future<Void> bound = listener.listen(loop, allocator, address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ListenException(address, bound.cause());
    }
  }

  /**
   * Starts to bind all fronts without waiting for completion, unless a stop has begun.
   *
   * @param onFailure called for each address that cannot be bound
   */
  void listenInBackground(BiConsumer<InetSocketAddress, Throwable> onFailure) {
    for (Front front : fronts) {
      if (stopped) {
        return;
      }
      pendingBinds++;
      front
          .listener()
          .listen(loop, allocator, front.address())
          .addListener(
              bound -> {
                if (bound.isSuccess()) {
                  listening.add(front.listener());
                  log.write("takes-clients listen=" + front.address());
                  bindFinished();
                } else {
                  onFailure.accept(front.address(), bound.cause());
                }
              });
    }
  }

  /** Records that the start of the server, or one bind, has finished. */
  void bindFinished() {
    pendingBinds--;
    if (pendingBinds == 0 && stopped) {
      onStopped.run();
    }
  }

  /**
   * Prevents further binds.
   *
   * @param callback called once no bind is in progress
   */
  void stop(Runnable callback) {
    stopped = true;
    onStopped = callback;
    if (pendingBinds == 0) {
      callback.run();
    }
  }

  /** Returns whether every front listens. */
  boolean isListening() {
    return listening.size() == fronts.size();
  }

  /** Returns the listeners that are bound. */
  List<Listener> listening() {
    return listening;
  }

  /**
   * Enforces the quota of a shared address, and closes idle and timed-out connections. Does nothing
   * after a stop.
   *
   * @param idleLimit microseconds for which a connection may be idle; 0 if none is to be closed yet
   */
  void supervise(long idleLimit) {
    if (stopped) { // the graceful shutdown closes the connections
      return;
    }
    listening.forEach(Listener::pollSharedPort);
    if (idleLimit > 0) {
      listening.forEach(listener -> listener.closeExpired(idleLimit, CloseReason.IDLE));
    }
  }
}
