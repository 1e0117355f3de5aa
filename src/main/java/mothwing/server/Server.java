package mothwing.server;

import com.google.gson.Gson;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import mothwing.admin.AdminConnection;
import mothwing.admin.AdminOperations;
import mothwing.ajp.AjpConnection;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.RunClaims;
import mothwing.control.RequestClass;
import mothwing.dependency.DependencyConnectionManager;
import mothwing.discovery.LoadReporter;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.Listener;
import mothwing.net.ReadBudget;
import mothwing.net.TcpConnector;
import mothwing.overload.OverloadController;
import mothwing.peer.PeerTransport;
import mothwing.pool.WorkerPoolClient;
import mothwing.settings.Site;
import mothwing.store.ClaimTable;

/** One shop server: the parts, wired together on one event loop, from its start to its end. */
public final class Server implements Service {
  private static final long MILLI = 1000;
  private static final long TRIM_PERIOD = 50 * MILLI;
  private static final int MOST_OPERATORS = 16;
  private static final long PATIENCE =
      2500 * MILLI; // some write for 2 s; bad clients are owed an end within 3 s
  private static final long DOOR_PATIENCE =
      10_000 * MILLI; // operators may type; others make room at the bound
  private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
  private static final int PAGE = 8192;
  private static final int CHUNK_ORDER = 5; // chunks of 256 KiB

  private final InetSocketAddress ajp;
  private final EventLog log;
  private final Counters counters = new Counters();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final PooledByteBufAllocator allocator =
      new PooledByteBufAllocator(true, 1, 1, PAGE, CHUNK_ORDER, 0, 0, false);
  private final EventLoopScheduler timers = new EventLoopScheduler(loop);
  private final List<Front> fronts = new ArrayList<>();
  private final List<Listener> listeners = new CopyOnWriteArrayList<>(); // those that listen
  private final CountDownLatch ended = new CountDownLatch(1);
  private final WorkerPoolClient pool;
  private final Broker broker;
  private final LoadReporter announcer;
  private volatile boolean failed;
  private boolean leaving;
  private int binding = 1; // binds under way, and the start itself
  private Config config;
  private Listener door;
  private PeerTransport peer;
  private DependencyConnectionManager ledger;
  private long reloads;
  private long reloadErrors;
  private long idleSpan;

  private record Front(Listener listener, InetSocketAddress address) {}

  /**
   * Wires a server that is not started yet.
   *
   * @param config what it is told
   * @param ajp where to listen for AJP, or null for nowhere
   * @param log takes lines of the log
   */
  public Server(Config config, InetSocketAddress ajp, EventLog log) {
    this.config = config;
    this.ajp = ajp;
    this.log = log;
    pool = new WorkerPoolClient(dialer(config.pool()), timers, counters, log);
    broker = new Broker(config.settings(), OverloadController::new, pool, timers, counters, log);
    announcer =
        new LoadReporter(
            dialer(config.announce()),
            config.name(),
            () -> !broker.isDraining() && !broker.outOfRotation(),
            timers,
            counters,
            log);
    if (config.ledger() != null) {
      callBelow();
    }
    idleSpan = config.settings().signals().idleTimeout();
    broker.setIdleConnectionCloser(span -> idleSpan = span);
  }

  /**
   * Makes it a member of a fleet. To be called before {@link #start}; nothing of it is loaded
   * otherwise.
   *
   * @param fleet which
   * @throws IOException where the server's name cannot travel
   */
  public void join(Site.Fleet fleet) throws IOException {
    if (!Site.Fleet.mayBeCalled(config.name())) {
      throw new IOException(
          "field name: \""
              + config.name()
              + "\" is not "
              + Site.Fleet.NAMED
              + ", as a member of a fleet is called");
    }
    peer = new PeerTransport(fleet, config.name(), loop, timers, new SecureRandom(), counters, log);
  }

  private void callBelow() {
    ledger = new DependencyConnectionManager(dialer(config.ledger()), timers, counters, log);
    ledger.attach(broker);
  }

  private TcpConnector dialer(InetSocketAddress to) {
    return new TcpConnector(loop, allocator, to);
  }

  /**
   * Starts: listens, links to the pool, reports. Where there is an operators' door the address of
   * clients may be shared with the process that this one is to follow, so they are listened for
   * once the pool is up.
   *
   * @throws IOException where it cannot listen
   */
  public void start() throws IOException {
    int descriptors = FileDescriptorBudget.limitFor(config.sockets());
    int most =
        Math.max(
            1,
            (descriptors
                    - FileDescriptorBudget.reserved(descriptors, FileDescriptorBudget.openNow()))
                / (ajp == null ? 1 : 2));
    fronts.add(
        new Front(
            listener("fastcgi", () -> new FastCgiConnection(broker, log, counters), most, PATIENCE),
            config.listen()));
    if (ajp != null) {
      fronts.add(
          new Front(
              listener("ajp", () -> new AjpConnection(broker, log, counters), most, PATIENCE),
              ajp));
    }
    ReadBudget turns = new ReadBudget(timers);
    broker.setOverloadCheck(turns::isOverloaded);
    fronts.forEach(one -> one.listener().limitReads(turns));
    if (config.management() == null) {
      listenNow(fronts);
    } else {
      fronts.forEach(one -> one.listener().shareAddress());
      AdminOperations operations = new Operators();
      door =
          listener(
              "management",
              () -> new AdminConnection(operations, log, counters),
              MOST_OPERATORS,
              DOOR_PATIENCE);
      shareClaims();
      listenNow(List.of(new Front(door, config.management())));
      broker.whenReady(() -> listenLater(List.copyOf(fronts)));
    }
    loop.execute(
        () -> {
          pool.attach(broker);
          announcer.start();
          if (peer != null) {
            peer.start();
          }
          trim();
          bindingOver();
        });
    log.write(
        "start name="
            + config.name()
            + " listen="
            + config.listen()
            + " ajp="
            + (ajp == null ? "off" : ajp)
            + " management="
            + (door == null ? "off" : door.address())
            + " sockets="
            + config.sockets()
            + " stop_ms="
            + config.stopMs());
  }

  /**
   * Another process may serve at the same address: each run of a guarded request is claimed in a
   * table that both map.
   */
  private void shareClaims() {
    Path file = Path.of(System.getProperty("java.io.tmpdir"), "mothwing-claims-" + config.name());
    try {
      long boot = Files.readString(BOOT_ID).strip().hashCode();
      ClaimTable table =
          ClaimTable.open(
              file, new SecureRandom().nextLong(), boot, () -> System.nanoTime() / MILLI);
      broker.setRunClaims(
          (key, span) ->
              switch (table.claim(key, span)) {
                case GRANTED -> RunClaims.Claim.GRANTED;
                case HELD -> RunClaims.Claim.HELD;
                case FULL -> RunClaims.Claim.FULL;
                case UNKNOWN -> RunClaims.Claim.UNKNOWN;
              });
    } catch (IOException | RuntimeException none) {
      log.write("no-shared-claims file=" + file + " what=\"" + none.getMessage() + "\"");
    }
  }

  private Listener listener(String side, Supplier<Connection> maker, int most, long patience) {
    return new Listener(side, maker, most, patience, timers, counters);
  }

  private void listenNow(List<Front> all) throws IOException {
    for (Front one : all) {
      Future<Void> bound =
          one.listener().listen(loop, allocator, one.address()).awaitUninterruptibly();
      if (!bound.isSuccess()) {
        failed = true;
        ended.countDown();
        throw new IOException(
            "cannot listen on " + one.address() + ": " + bound.cause().getMessage());
      }
      if (one.listener() != door) {
        listeners.add(one.listener());
      }
    }
  }

  private void listenLater(List<Front> all) {
    for (Front one : all) {
      if (leaving) {
        return;
      }
      binding++;
      one.listener()
          .listen(loop, allocator, one.address())
          .addListener(
              bound -> {
                if (bound.isSuccess()) {
                  listeners.add(one.listener());
                  log.write("takes-clients listen=" + one.address());
                  bindingOver();
                } else {
                  failed = true;
                  log.write(
                      "listen-failed address="
                          + one.address()
                          + " what=\""
                          + bound.cause().getMessage()
                          + "\"");
                  ended.countDown();
                }
              });
    }
  }

  /** What operators may ask. */
  private final class Operators implements AdminOperations {
    private final Gson json = new Gson();

    @Override
    public boolean isServing() {
      return broker.isServing() && listeners.size() == fronts.size();
    }

    @Override
    public String statistics() {
      Map<String, Object> all = broker.statistics();
      all.put("config_reloads", reloads);
      all.put("config_reload_errors", reloadErrors);
      return json.toJson(all);
    }

    @Override
    public String members() {
      return peer == null ? null : json.toJson(peer.told());
    }

    @Override
    public boolean setOutOfRotation(boolean away) {
      return broker.outOfRotation(away);
    }
  }

  /**
   * Takes what a running server can take of a new configuration: the settings, where the pool and
   * the announce service are, and the time to leave. Requests and runs go on. May come from any
   * thread, and more than once.
   *
   * @param now the new configuration
   */
  public void reload(Config now) {
    loop.execute(
        () -> {
          reloads++;
          Config before = config;
          config = before.withReloaded(now);
          String waits = config.restartRequiredFor(now);
          log.write(
              "reload pool="
                  + config.pool()
                  + " announce="
                  + config.announce()
                  + " stop_ms="
                  + config.stopMs()
                  + " classes="
                  + config.settings().classes().stream()
                      .map(RequestClass::name)
                      .collect(Collectors.joining(","))
                  + (waits.isEmpty() ? "" : " needs-restart=" + waits));
          broker.applySettings(config.settings());
          if (config.settings().signals().idleTimeout()
              != before.settings().signals().idleTimeout()) {
            idleSpan = config.settings().signals().idleTimeout();
          }
          if (!config.pool().equals(before.pool())) {
            pool.changeAddress(dialer(config.pool()));
          }
          if (ledger == null && config.ledger() != null) {
            callBelow();
          } else if (config.ledger() != null && !config.ledger().equals(before.ledger())) {
            ledger.changeAddress(dialer(config.ledger()));
          }
          if (!config.announce().equals(before.announce())) {
            announcer.changeAddress(dialer(config.announce()));
          }
        });
  }

  /**
   * Counts and logs a configuration that was turned down: nothing has changed. May come from any
   * thread.
   *
   * @param why what is wrong with it
   */
  public void reloadFailed(String why) {
    loop.execute(
        () -> {
          reloadErrors++;
          log.write("reload-failed what=\"" + why + "\"");
        });
  }

  private void trim() {
    timers.schedule(timers.now() + TRIM_PERIOD, this::trim);
    if (door != null) {
      door.trim(DOOR_PATIENCE, CloseReason.IDLE);
    }
    if (!leaving) {
      listeners.forEach(Listener::pollSharedPort);
    }
    if (idleSpan > 0 && !leaving) { // on the way out Drain says how long connections may stay
      listeners.forEach(one -> one.trim(idleSpan, CloseReason.IDLE));
    }
  }

  /**
   * While an address is being bound the way out waits: who connects to it in that moment is owed an
   * answer too.
   */
  @Override
  public void drain() {
    loop.execute(
        () -> {
          if (!leaving) {
            leaving = true;
            announcer.stop();
            if (peer != null) {
              peer.leave();
            }
            if (binding == 0) {
              leave();
            }
          }
        });
  }

  private void bindingOver() {
    binding--;
    if (binding == 0 && leaving) {
      leave();
    }
  }

  private void leave() {
    new GracefulShutdown(
            loop,
            timers,
            broker,
            log,
            () -> {
              pool.stop();
              if (peer != null) {
                peer.close();
              }
              ended.countDown();
            })
        .begin(listeners, config.management() != null, config);
  }

  @Override
  public boolean failed() {
    return failed;
  }

  @Override
  public String counts() {
    CompletableFuture<String> line = new CompletableFuture<>();
    loop.execute(() -> line.complete("counts " + broker.counts()));
    try {
      return line.get(1, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException late) {
      return "counts unknown";
    }
  }

  /**
   * Where it listens: for FastCGI, then for AJP where it does.
   *
   * @return the addresses, with the ports that were given
   */
  public List<InetSocketAddress> listening() {
    return listeners.stream().map(Listener::address).toList();
  }

  /**
   * Where operators call.
   *
   * @return the address, with the port that was given
   */
  public InetSocketAddress management() {
    return door.address();
  }

  @Override
  public void await() throws InterruptedException {
    ended.await();
  }

  /** Ends the event loop. */
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
