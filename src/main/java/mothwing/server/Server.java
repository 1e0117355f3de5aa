package mothwing.server;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import mothwing.admin.AdminConnection;
import mothwing.admin.AdminOperations;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.control.RequestClass;
import mothwing.control.SharedCapacity;
import mothwing.dependency.DependencyConnectionManager;
import mothwing.discovery.LoadReporter;
import mothwing.net.CloseReason;
import mothwing.net.ConnectionMemory;
import mothwing.net.Listener;
import mothwing.net.TcpConnector;
import mothwing.overload.OverloadController;
import mothwing.peer.PeerTransport;
import mothwing.pool.WorkerPoolClient;
import mothwing.settings.InvalidInputException;
import mothwing.settings.Site;

/** A server process: wires its components on one event loop, and starts and stops them. */
public final class Server implements Service {
  private static final long SUPERVISION_PERIOD_MICROS = 50_000;
  private static final int MAX_ADMIN_CONNECTIONS = 16;

  /** Long enough for an operator who types a command by hand. */
  private static final long ADMIN_TIMEOUT_MICROS = 10_000_000;

  private static final int PAGE_BYTES = 8192;

  /** Gives allocator chunks of PAGE_BYTES << 5, or 256 KiB. */
  private static final int CHUNK_ORDER = 5;

  private final InetSocketAddress ajp;
  private final EventLog log;
  private final Counters counters = new Counters();
  private final OwnerThreads threads = new OwnerThreads("event-loop", this::ownerThreadEnded);
  private final NioEventLoopGroup group = new NioEventLoopGroup(1, threads);
  private final EventLoop loop = group.next();
  private final PooledByteBufAllocator allocator =
      new PooledByteBufAllocator(true, 1, 1, PAGE_BYTES, CHUNK_ORDER, 0, 0, false);
  private final EventLoopScheduler scheduler = new EventLoopScheduler(loop);
  private final ConnectionMemory memory =
      new ConnectionMemory(ConnectionMemory.defaultLimitBytes(), counters);
  private final ClientFronts fronts;
  private final ReloadStatistics reloads = new ReloadStatistics();
  private final CountDownLatch ended = new CountDownLatch(1);
  private final WorkerPoolClient pool;
  private final Broker broker;
  private final LoadReporter loadReporter;
  private SharedCapacity capacity = SharedCapacity.UNSHARED;
  private Optional<SharedProcessState> sharedState = Optional.empty();
  private volatile boolean failed;
  private boolean draining;
  private Config config;
  private Listener adminListener;
  private PeerTransport peer;
  private DependencyConnectionManager dependency;
  private long idleLimit;

  /**
   * Creates a server that is not started yet.
   *
   * @param config the configuration
   * @param ajp the address for AJP, or null to disable it
   * @param log the event log
   */
  public Server(Config config, InetSocketAddress ajp, EventLog log) {
    this.config = config;
    this.ajp = ajp;
    this.log = log;
    fronts = new ClientFronts(loop, allocator, scheduler, counters, log);
    pool = new WorkerPoolClient(connector(config.pool()), scheduler, counters, log);
    broker =
        new Broker(
            config.settings(),
            (settings, host) -> new OverloadController(settings, host, capacity),
            pool,
            scheduler,
            counters,
            log);
    loadReporter =
        new LoadReporter(
            connector(config.announce()),
            config.name(),
            () -> !broker.isDraining() && !broker.isOutOfRotation(),
            scheduler,
            counters,
            log);
    if (config.ledger() != null) {
      connectDependency();
    }
    idleLimit = config.settings().signals().idleTimeout();
    broker.setIdleConnectionCloser(limit -> idleLimit = limit);
  }

  /**
   * Makes the server a member of a fleet. Must be called before {@link #start}.
   *
   * @param fleet the fleet
   * @throws InvalidInputException if the server's name is not valid for a member
   */
  public void join(Site.Fleet fleet) throws InvalidInputException {
    if (!Site.Fleet.isValidName(config.name())) {
      throw new InvalidInputException(
          "field name: \""
              + config.name()
              + "\" is not a valid name of a fleet member ("
              + Site.Fleet.NAME_FORMAT
              + ")");
    }
    peer =
        new PeerTransport(fleet, config.name(), loop, scheduler, new SecureRandom(), counters, log);
  }

  private void connectDependency() {
    dependency =
        new DependencyConnectionManager(connector(config.ledger()), scheduler, counters, log);
    dependency.attach(broker);
  }

  private TcpConnector connector(InetSocketAddress address) {
    return new TcpConnector(loop, allocator, address);
  }

  /**
   * Starts the server: binds its listeners, connects to the pool and reports load. If there is an
   * address for operators, the addresses for clients may be shared with the process that this one
   * replaces, so they are bound only once the pool is connected.
   *
   * @throws ListenException if an address cannot be bound
   */
  public void start() throws ListenException {
    fronts.open(config, ajp, broker, memory);
    try {
      if (config.management() == null) {
        fronts.listen();
      } else {
        fronts.shareAddresses();
        shareWithOtherProcess();
        bindAdminListener();
        broker.whenReady(() -> fronts.listenInBackground(this::listenFailed));
      }
    } catch (ListenException failure) {
      failed = true;
      ended.countDown();
      throw failure;
    }
    loop.execute(this::startOnLoop);
    logStart();
  }

  private void bindAdminListener() throws ListenException {
    AdminOperations operations =
        new ServerAdmin(
            broker,
            fronts::isListening,
            () -> Optional.ofNullable(peer).map(PeerTransport::status),
            reloads);
    adminListener =
        new Listener(
            "management",
            () -> new AdminConnection(operations, log, counters),
            MAX_ADMIN_CONNECTIONS,
            ADMIN_TIMEOUT_MICROS,
            scheduler,
            counters);
    adminListener.setMemory(memory);
    fronts.bind(adminListener, config.management());
  }

  /** Shares what belongs to the server with another process at the same address. */
  private void shareWithOtherProcess() {
    broker.setRunClaims(
        SharedRunClaims.ofKeys(config.name(), log), SharedRunClaims.ofIds(config, log));
    sharedState = SharedProcessState.open(config, log);
    sharedState.ifPresent(
        state -> {
          capacity = state;
          broker.setRotation(state);
        });
  }

  private void listenFailed(InetSocketAddress address, Throwable cause) {
    failed = true;
    log.write("listen-failed address=" + address + " what=\"" + cause.getMessage() + "\"");
    ended.countDown();
  }

  private void ownerThreadEnded(String cause) {
    failed = true;
    log.write("owner-thread-ended what=\"" + cause + "\"");
    ended.countDown();
  }

  private void startOnLoop() {
    pool.attach(broker);
    loadReporter.start();
    if (peer != null) {
      peer.start();
    }
    supervise();
    fronts.bindFinished();
  }

  private void logStart() {
    log.write(
        "start name="
            + config.name()
            + " listen="
            + config.listen()
            + " ajp="
            + (ajp == null ? "off" : ajp)
            + " management="
            + (adminListener == null ? "off" : adminListener.address())
            + " sockets="
            + config.sockets()
            + " stop_ms="
            + config.stopMs());
  }

  /**
   * Applies the fields of a new configuration that a running server can change: the settings, the
   * addresses that it connects to, and the duration of a shutdown. Open requests and runs are not
   * affected. May be called from any thread, and more than once.
   *
   * @param next the new configuration
   */
  public void reload(Config next) {
    loop.execute(
        () -> {
          reloads.countSuccess();
          Config before = config;
          config = before.withReloaded(next);
          logReload(config.fieldsRequiringRestart(next));
          applySettings(before);
          reconnect(before);
        });
  }

  private void logReload(String restartFields) {
    String classes =
        config.settings().classes().stream()
            .map(RequestClass::name)
            .collect(Collectors.joining(","));
    log.write(
        "reload pool="
            + config.pool()
            + " announce="
            + config.announce()
            + " stop_ms="
            + config.stopMs()
            + " classes="
            + classes
            + (restartFields.isEmpty() ? "" : " needs-restart=" + restartFields));
  }

  private void applySettings(Config before) {
    broker.applySettings(config.settings());
    long limit = config.settings().signals().idleTimeout();
    if (limit != before.settings().signals().idleTimeout()) {
      idleLimit = limit;
    }
  }

  private void reconnect(Config before) {
    if (!config.pool().equals(before.pool())) {
      pool.changeAddress(connector(config.pool()));
    }
    if (dependency == null && config.ledger() != null) {
      connectDependency();
    } else if (config.ledger() != null && !config.ledger().equals(before.ledger())) {
      dependency.changeAddress(connector(config.ledger()));
    }
    if (!config.announce().equals(before.announce())) {
      loadReporter.changeAddress(connector(config.announce()));
    }
  }

  /**
   * Counts and logs a configuration that was rejected and changed nothing. May be called from any
   * thread.
   *
   * @param reason why it was rejected
   */
  public void reloadFailed(String reason) {
    loop.execute(
        () -> {
          reloads.countFailure();
          log.write("reload-failed what=\"" + reason + "\"");
        });
  }

  private void supervise() {
    scheduler.schedule(scheduler.now() + SUPERVISION_PERIOD_MICROS, this::supervise);
    if (adminListener != null) {
      adminListener.closeExpired(ADMIN_TIMEOUT_MICROS, CloseReason.IDLE);
    }
    fronts.supervise(idleLimit);
    sharedState.ifPresent(SharedProcessState::releaseCapacityOfEndedProcesses);
  }

  @Override
  public void drain() {
    loop.execute(
        () -> {
          if (!draining) {
            draining = true;
            loadReporter.stop();
            sharedState.ifPresent(SharedProcessState::startDraining);
            if (peer != null) {
              peer.leave();
            }
            fronts.stop(this::shutDown);
          }
        });
  }

  private void shutDown() {
    new GracefulShutdown(
            loop,
            scheduler,
            broker,
            log,
            () -> {
              pool.stop();
              sharedState.ifPresent(SharedProcessState::leave);
              if (peer != null) {
                peer.close();
              }
              ended.countDown();
            })
        .begin(fronts.listening(), config.management() != null, config);
  }

  @Override
  public boolean hasFailed() {
    return failed;
  }

  @Override
  public String counts() {
    CompletableFuture<String> line = new CompletableFuture<>();
    loop.execute(() -> line.complete("counts " + broker.counts()));
    try {
      return line.get(1, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException unavailable) {
      return "counts unknown";
    }
  }

  /**
   * Returns the addresses for clients: that of FastCGI, then that of AJP if enabled.
   *
   * @return the bound addresses, with the assigned ports
   */
  public List<InetSocketAddress> clientAddresses() {
    return fronts.listening().stream().map(Listener::address).toList();
  }

  /**
   * Returns the address for operators.
   *
   * @return the bound address, with the assigned port
   */
  public InetSocketAddress adminAddress() {
    return adminListener.address();
  }

  @Override
  public void await() throws InterruptedException {
    ended.await();
  }

  /** Stops the event loop. */
  public void close() {
    threads.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
