package mothwing.trial;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;
import mothwing.broker.Scheduler;
import mothwing.broker.WorkerPool;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.Dependency;
import mothwing.control.FreeValue;
import mothwing.control.Idempotency;
import mothwing.control.Machine;
import mothwing.control.ObjectiveWeights;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.ServerLimits;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.StopMode;
import mothwing.control.Tenant;
import mothwing.net.Connection;
import mothwing.net.InvalidRequestException;
import mothwing.net.RequestFields;
import mothwing.overload.OverloadController;

/**
 * What the tests of connections share: a broker with the real decisions, a clock by hand and a pool
 * by hand.
 */
public final class BrokerFixture implements Scheduler, WorkerPool {
  /** The wall clock at the start. */
  public static final long WALL_MS = 1_764_576_000_000L;

  /** The class that may be repeated. */
  public static final String LOOK = "stock-check";

  /** The class that must run once. */
  public static final String ORDER = "place-order";

  private static final long SECOND = 1_000_000;

  /** Runs handed to the pool and not ended, with what each would give. */
  public final Map<String, byte[]> running = new LinkedHashMap<>();

  /** How often each request was handed to the pool. */
  public final Map<String, Integer> spawns = new LinkedHashMap<>();

  /** What runs that stood at a call went on with, as it was told; null for going on without. */
  public final Map<String, List<byte[]>> supplied = new LinkedHashMap<>();

  /** Lines of the log. */
  public final List<String> lines = new ArrayList<>();

  /** Counts. */
  public final Counters counters = new Counters();

  /** The core under test. */
  public final Broker broker;

  /** Whether the pool can be reached. */
  public boolean linked = true;

  private final VirtualTime time = new VirtualTime();

  /** Makes a broker that the pool, which is this stand, has not bound yet. */
  public BrokerFixture() {
    broker =
        new Broker(settings(4.5, 2), OverloadController::new, this, this, counters, lines::add);
  }

  /** Makes a broker with other decisions. */
  public BrokerFixture(Controller decisions) {
    broker =
        new Broker(
            settings(4.5, 2), (settings, host) -> decisions, this, this, counters, lines::add);
  }

  /** Makes a broker with another way to the pool. */
  public BrokerFixture(Function<BrokerFixture, WorkerPool> pool) {
    this(OverloadController::new, pool);
  }

  /** Makes a broker with other decisions and another way to the pool. */
  public BrokerFixture(
      BiFunction<Settings, ControllerHost, Controller> decisions,
      Function<BrokerFixture, WorkerPool> pool) {
    broker = new Broker(settings(4.5, 2), decisions, pool.apply(this), this, counters, lines::add);
  }

  /** Settings like the site's, with patience in seconds and a number of cores. */
  public static Settings settings(double patience, int cores) {
    long deadline = (long) (patience * SECOND);
    long aim = deadline * 2 / 5;
    return new Settings(
        7,
        2_000,
        List.of(
            new RequestClass(LOOK, aim, deadline, 1, 0, Idempotency.ALWAYS, 0, false, 0),
            new RequestClass(ORDER, aim, deadline, 10, 0, Idempotency.NEVER, 0, false, 0)),
        List.of(new Tenant("one", 1e6)),
        10,
        3,
        false,
        0.05,
        0,
        new ObjectiveWeights(0.5, 0.1, 0.3, 0.1),
        new ServerLimits(100_000, 2 * SECOND, 8, 2 * SECOND, 0.3, 10 * SECOND),
        new Dependency(0, 5 * SECOND, 0),
        new Machine(
            cores,
            90_000,
            16,
            0,
            false,
            List.of("cpu_busy", "runnable", "mem_used", "sockets"),
            StopMode.SUSPEND),
        new Signals(FreeValue.LEVEL, SECOND, true, SECOND, true, 30 * SECOND));
  }

  /** A trace id. */
  public static String id(int number) {
    return String.format("%016x", number);
  }

  /** The pool takes the link. */
  public BrokerFixture bound() {
    broker.poolConnected(false, 3600 * SECOND);
    return this;
  }

  /** A request is read, as a front would bring it; its answer goes to the caller. */
  public Exchange ask(String id, String kind, byte[] body, ResponseSink caller) {
    RequestFields fields = new RequestFields();
    Gateway.fields(id, wallClockMillis()).forEach(fields::set);
    try {
      return broker.submit(fields.toRequest("/call/" + kind, body), caller);
    } catch (InvalidRequestException bad) {
      throw new IllegalArgumentException(bad.getMessage(), bad);
    }
  }

  /** Opens a connection without a network. */
  public EmbeddedChannel open(Connection connection) {
    return new EmbeddedChannel(connection);
  }

  /** Sends bytes of a gateway and lets it read what comes back. */
  public void send(EmbeddedChannel channel, Gateway gateway, byte[] bytes) {
    if (channel.isOpen()) {
      channel.writeInbound(Unpooled.copiedBuffer(bytes));
    }
    read(channel, gateway);
  }

  /** Lets a gateway read what was sent to it. */
  public void read(EmbeddedChannel channel, Gateway gateway) {
    channel.runPendingTasks();
    ByteBuf out;
    while ((out = channel.readOutbound()) != null) {
      byte[] bytes = new byte[out.readableBytes()];
      out.readBytes(bytes);
      out.release();
      gateway.receive(bytes);
    }
  }

  /** Lets time pass, with all that comes due in it. */
  public void pass(long micros) {
    time.until(time.now() + micros);
  }

  /** Ends a run of the pool. */
  public void finish(String id, RunOutcome outcome) {
    byte[] result = running.remove(id);
    broker.runEnded(id, outcome, 1000, outcome == RunOutcome.SUCCEEDED ? result : null);
  }

  /** The name of some run, or null where there is none. */
  public String someRun(int number) {
    return running.isEmpty() ? null : List.copyOf(running.keySet()).get(number % running.size());
  }

  /** What the pool makes of a request. */
  public static byte[] result(String id) {
    return ("made for " + id).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public long now() {
    return time.now();
  }

  @Override
  public long wallClockMillis() {
    return time.wallClockMillis();
  }

  @Override
  public void schedule(long at, Runnable work) {
    time.schedule(at, work);
  }

  @Override
  public boolean isReady() {
    return linked;
  }

  @Override
  public boolean startRun(Exchange exchange) {
    String id = exchange.request().id();
    if (!linked) {
      return false;
    }
    spawns.merge(id, 1, Integer::sum);
    running.put(id, result(id));
    return true;
  }

  @Override
  public void stopRun(String id) {
    if (running.remove(id) != null) {
      schedule(now(), () -> broker.runEnded(id, RunOutcome.STOPPED, 1000, null));
    }
  }

  @Override
  public void resumeRun(String id) {
    running.put(id, result(id));
  }

  @Override
  public void resumeWithResult(String id, byte[] result) {
    supplied.computeIfAbsent(id, none -> new ArrayList<>()).add(result);
  }

  @Override
  public void resumeWithoutResult(String id) {
    resumeWithResult(id, null);
  }

  @Override
  public void requestGauges(String echo) {
    double busy = Math.min(1, running.size() / 2.0);
    schedule(
        now() + 200,
        () -> broker.gaugesReceived(echo, new double[] {busy, running.size(), 0.1, 1}));
  }

  @Override
  public void startHealthCheck(String echo) {
    schedule(now() + 200, () -> broker.healthCheckEnded(echo, true));
  }
}
