package mothwing.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.DependencyClient;
import mothwing.broker.Exchange;
import mothwing.broker.InboundRequest;
import mothwing.broker.ResponseSink;
import mothwing.broker.WorkerPool;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.Idempotency;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.StopMode;

/**
 * A drawn deployment on virtual time: servers with the real core, pools whose runs leave their
 * cores for calls, one tier below that all share, and callers that ask once. What it says of rules
 * and service it takes from what callers were told and from the cores, never from the servers.
 */
final class DeploymentSimulation {
  private static final long MILLI = 1000;
  private static final long SECOND = 1_000_000;
  private static final long WIRE = 200; // microseconds from a server to its pool, or back
  private static final long TO_TIER = 500; // the same to the tier below
  private static final long LOOK = 20 * MILLI; // between looks at crowd and memory
  private static final long SLACK = 50 * MILLI; // on sockets each time limit is so much longer
  private static final double NOTICE =
      0.75; // of the play, at which the first of several servers is to leave
  private static final long LEAVING = 4 * SECOND;

  /** Makes the decisions of one server. */
  interface Maker {
    /** Makes them; the speed is the truth about its cores. */
    Controller make(Settings settings, ControllerHost host, double speed);
  }

  /**
   * What came of it.
   *
   * @param served worth answered in time, as a share of the worth asked for
   * @param refused share of requests refused
   * @param failed share of requests failed
   * @param broken rules broken, the first few
   * @param faults exceptions of the decisions
   */
  record Result(double served, double refused, double failed, List<String> broken, long faults) {}

  private final Deployment of;
  private final VirtualTime time = new VirtualTime();
  private final List<Server> servers = new ArrayList<>();
  private final Map<String, Asked> asked = new LinkedHashMap<>();
  private final List<String> broken = new ArrayList<>();
  private final TierBelow tier;
  private final Random random;
  private double offered;
  private double gained;
  private long refused;
  private long failed;
  private int number;

  private DeploymentSimulation(Deployment of, Maker maker) {
    this.of = of;
    random = new Random(of.seed());
    tier = new TierBelow();
    for (double speed : of.speeds()) {
      servers.add(new Server(maker, speed));
    }
  }

  /** Plays it. */
  static Result play(Deployment of, Maker maker) {
    return new DeploymentSimulation(of, maker).run();
  }

  private Result run() {
    long end = (long) (of.seconds() * SECOND);
    for (int kind = 0; kind < of.rates().length; kind++) {
      next(kind, end);
    }
    if (servers.size() > 1) {
      time.schedule((long) (end * NOTICE), () -> servers.get(0).leave());
    }
    tier.befall(end);
    servers.forEach(Server::look);
    long longest =
        of.settings().classes().stream().mapToLong(RequestClass::deadline).max().orElse(0);
    time.until(end + longest + SECOND);
    asked.values().stream()
        .filter(one -> one.answers == 0)
        .forEach(one -> breach("lost " + one.id));
    long faults = servers.stream().mapToLong(one -> one.counters.get("controller-faults")).sum();
    return new Result(
        gained / Math.max(1e-9, offered),
        (double) refused / Math.max(1, number),
        (double) failed / Math.max(1, number),
        broken,
        faults);
  }

  private void breach(String what) {
    if (broken.size() < 5) {
      broken.add(time.now() / MILLI + " ms: " + what);
    }
  }

  private void next(int kind, long end) {
    long at = time.now() + (long) (-Math.log(1 - random.nextDouble()) / of.rates()[kind] * SECOND);
    if (at < end) {
      time.schedule(
          at,
          () -> {
            ask(kind);
            next(kind, end);
          });
    }
  }

  private double worth(int kind) {
    double worth = of.settings().classes().get(kind).priorityWeight();
    return of.settings().weightByWork() ? worth * of.kinds().get(kind).meanMs() : worth;
  }

  private void ask(int kind) {
    List<Server> open = servers.stream().filter(one -> !one.shut()).toList();
    Server server = open.get(random.nextInt(open.size()));
    int tenants = of.settings().tenants().size();
    Asked one = new Asked(String.format("%016x", ++number), kind, server, time.now());
    asked.put(one.id, one);
    offered += worth(kind);
    server.broker.submit(
        new InboundRequest(
            one.id,
            time.wallClockMillis(),
            tenants == 0 ? "" : of.settings().tenants().get(random.nextInt(tenants)).name(),
            of.settings().classes().get(kind).name(),
            of.kb(),
            random.nextDouble(),
            null,
            null,
            InboundRequest.NOT_STATED,
            new byte[0]),
        one);
  }

  /** One request, and the way back of it. */
  private final class Asked implements ResponseSink {
    final String id;
    final int kind;
    final Server server;
    final long at;
    int answers;
    int runs;
    boolean running;
    boolean paused;

    Asked(String id, int kind, Server server, long at) {
      this.id = id;
      this.kind = kind;
      this.server = server;
      this.at = at;
    }

    private RequestClass told() {
      return of.settings().classes().get(kind);
    }

    private void answered() {
      if (++answers > 1) {
        breach("answered twice " + id);
      }
      if (time.now() > at + told().deadline() + of.settings().limits().answerSlack() + SLACK) {
        breach("answered late " + id);
      }
      paused = false;
      time.schedule(time.now(), () -> server.cores.over(id));
    }

    @Override
    public void sendResult(byte[] result) {
      long took = time.now() - at;
      boolean late = took > told().latencyObjective();
      gained += took > told().deadline() ? 0 : worth(kind) * (late ? told().lateWeightRatio() : 1);
      answered();
    }

    @Override
    public void sendRejection(boolean last, long holdOffMs) {
      if (runs > 0 && told().idempotency() != Idempotency.ALWAYS) {
        breach("ran and was refused " + id);
      }
      refused++;
      answered();
    }

    @Override
    public void sendFailure(String code) {
      failed++;
      answered();
    }
  }

  /** A server in front of its own cores. */
  private final class Server implements WorkerPool {
    final Counters counters = new Counters();
    final PoolCores cores;
    final Broker broker;
    final ArrayDeque<Double> crowd = new ArrayDeque<>();
    double crowdSum;
    long noticeAt = Long.MAX_VALUE / 2;

    Server(Maker maker, double speed) {
      List<RequestClass> classes = of.settings().classes();
      Map<String, PoolCores.Kind> kinds = new LinkedHashMap<>();
      for (int i = 0; i < classes.size(); i++) {
        kinds.put(classes.get(i).name(), of.kinds().get(i));
      }
      boolean keeps = of.settings().machine().stopMode() == StopMode.SUSPEND;
      cores =
          new PoolCores(
              new PoolCores.Work(of.settings().machine().cores(), kinds::get, keeps),
              time,
              new Random(random.nextLong()),
              History.unread());
      cores.speed(speed);
      broker =
          new Broker(
              of.settings(),
              (settings, host) -> maker.make(settings, host, speed),
              this,
              time,
              counters,
              line -> {});
      broker.setDependencyClient(tier.of(broker));
      broker.poolConnected(false, 3600 * SECOND);
    }

    void leave() {
      noticeAt = time.now();
      broker.drain(time.now(), time.now() + LEAVING, false);
    }

    /** Whether callers have learned that it leaves. */
    boolean shut() {
      return noticeAt < time.now() - 3 * SECOND;
    }

    /**
     * The crowd on the cores in the mean of the time that the settings name, and the memory in use.
     */
    void look() {
      time.schedule(time.now() + LOOK, this::look);
      int running = cores.onCores();
      crowd.add((double) running);
      crowdSum += running;
      if (crowd.size() > of.settings().limits().concurrencyWindow() / LOOK) {
        crowdSum -= crowd.remove();
      }
      int most = of.settings().machine().cores();
      long looks = of.settings().limits().concurrencyWindow() / LOOK;
      if (crowdSum / looks > of.settings().limits().concurrencyPerCore() * most) {
        breach("felled by a crowd of " + running + " on " + most);
      }
      double kb = 0;
      for (Asked one : asked.values()) {
        kb +=
            one.server != this
                ? 0
                : one.running || one.paused
                    ? of.kb() * of.settings().machine().runMemoryFactor()
                    : one.answers == 0 ? of.kb() : 0;
      }
      if (kb > of.settings().machine().memoryKb()) {
        breach("needs " + (long) kb + " KB");
      }
      asked.values().removeIf(one -> one.answers > 0 && !one.running);
    }

    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public boolean startRun(Exchange exchange) {
      Asked one = asked.get(exchange.request().id());
      if (one.at > noticeAt + of.settings().limits().drainGracePeriod()) {
        breach("ran what came after the grace " + one.id);
      }
      if (one.running || one.paused) {
        return true;
      }
      if (++one.runs > 1 && one.told().idempotency() != Idempotency.ALWAYS) {
        breach("ran twice " + one.id);
      }
      one.running = true;
      time.schedule(
          time.now() + WIRE,
          () ->
              cores.spawn(
                  one.id,
                  exchange.request().className(),
                  exchange.request().body(),
                  1,
                  new PoolCores.Ends() {
                    @Override
                    public void ended(String id, String code, long took, byte[] body) {
                      boolean stopped = code.equals("aborted");
                      one.running = false;
                      one.paused =
                          stopped
                              && one.answers == 0
                              && of.settings().machine().stopMode() == StopMode.SUSPEND;
                      time.schedule(
                          time.now() + WIRE,
                          () ->
                              broker.runEnded(
                                  id,
                                  stopped ? RunOutcome.STOPPED : RunOutcome.SUCCEEDED,
                                  took,
                                  stopped ? null : body));
                    }

                    @Override
                    public void blocked(String id, byte[] content) {
                      time.schedule(time.now() + WIRE, () -> broker.runAwaitsCall(id, content));
                      if (one.answers > 0) {
                        cores.over(id);
                      }
                    }
                  }));
      return true;
    }

    @Override
    public void stopRun(String id) {
      time.schedule(time.now() + WIRE, () -> cores.suspend(id));
    }

    @Override
    public void resumeRun(String id) {
      Asked one = asked.get(id);
      if (one != null && one.paused) {
        one.paused = false;
        one.running = true;
      }
      time.schedule(time.now() + WIRE, () -> cores.proceed(id));
    }

    @Override
    public void resumeWithResult(String id, byte[] result) {
      time.schedule(time.now() + WIRE, () -> cores.supply(id));
    }

    @Override
    public void resumeWithoutResult(String id) {
      time.schedule(time.now() + WIRE, () -> cores.supply(id));
    }

    @Override
    public void requestGauges(String echo) {
      double[] all = cores.gauges();
      List<String> names = List.of("cpu_busy", "runnable", "mem_used", "sockets");
      double[] told =
          of.settings().machine().gaugeNames().stream()
              .mapToDouble(one -> all[names.indexOf(one)])
              .toArray();
      time.schedule(time.now() + 2 * WIRE, () -> broker.gaugesReceived(echo, told));
    }

    @Override
    public void startHealthCheck(String echo) {
      time.schedule(time.now() + 2 * WIRE, () -> broker.healthCheckEnded(echo, true));
    }
  }

  /** The tier below: cores of its own, which all servers share. */
  private final class TierBelow {
    private final PoolCores cores;
    private final Map<String, Runnable> cut = new LinkedHashMap<>();
    private boolean gone;
    private long calls;

    TierBelow() {
      cores =
          new PoolCores(
              new PoolCores.Work(
                  of.tierCores(), kind -> new PoolCores.Kind(of.callMs(), 0.5, 0), false),
              time,
              new Random(of.seed() + 1),
              History.unread());
    }

    void befall(long end) {
      switch (of.tier()) {
        case SLOW -> {
          time.schedule(end / 3, () -> cores.speed(0.34));
          time.schedule(end * 2 / 3, () -> cores.speed(1));
        }
        case COLD -> {
          cores.speed(0.34);
          time.schedule(Math.min(end / 2, 10 * SECOND), () -> cores.speed(1));
        }
        case CRASHED -> {
          time.schedule(
              end / 3,
              () -> {
                gone = true;
                List<String> all = new ArrayList<>(cut.keySet());
                all.forEach(cores::suspend);
                List<Runnable> told = new ArrayList<>(cut.values());
                cut.clear();
                told.forEach(Runnable::run);
              });
          time.schedule(end / 3 + 2 * SECOND, () -> gone = false);
        }
        default -> {}
      }
    }

    DependencyClient of(Broker broker) {
      Map<String, String> names = new LinkedHashMap<>();
      return new DependencyClient() {
        @Override
        public boolean startCall(String id, long limitMs, byte[] content) {
          String call = id + "-" + ++calls;
          names.put(id, call);
          time.schedule(
              time.now() + TO_TIER,
              () -> {
                if (!call.equals(names.get(id))) {
                  return;
                }
                if (gone) {
                  tell(id, call, RunOutcome.UNREACHABLE);
                  return;
                }
                cut.put(call, () -> tell(id, call, RunOutcome.CONNECTION_LOST));
                cores.spawn(
                    call,
                    "call",
                    content,
                    1,
                    (which, code, took, body) -> {
                      if (cut.remove(call) != null && code.equals("done")) {
                        tell(id, call, RunOutcome.SUCCEEDED);
                      }
                    });
              });
          return true;
        }

        private void tell(String id, String call, RunOutcome how) {
          time.schedule(
              time.now() + TO_TIER,
              () -> {
                if (names.remove(id, call)) {
                  broker.callEnded(id, how, how == RunOutcome.SUCCEEDED ? new byte[0] : null);
                }
              });
        }

        @Override
        public void abandonCall(String id) {
          String call = names.remove(id);
          if (call != null) {
            time.schedule(
                time.now() + TO_TIER,
                () -> {
                  cut.remove(call);
                  cores.suspend(call);
                });
          }
        }
      };
    }
  }
}
