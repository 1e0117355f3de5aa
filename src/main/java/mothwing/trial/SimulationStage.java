package mothwing.trial;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.Exchange;
import mothwing.broker.InboundRequest;
import mothwing.broker.ResponseSink;
import mothwing.broker.WorkerPool;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.overload.OverloadController;
import mothwing.server.Config;
import mothwing.trial.History.End;

/**
 * Plays a trial on virtual time, in one thread: the same cores as in service, the same actors as
 * with processes.
 */
final class SimulationStage implements Stage {
  private static final long MILLI = 1000;
  private static final long SECOND = 1_000_000;
  private static final long BOOT = 800 * MILLI; // from a start until clients are taken
  private static final long REPORT = 1000 * MILLI;
  private static final long RELINK = 100 * MILLI;
  private static final long LEAVE_LOOK = 20 * MILLI;

  private final BiFunction<Settings, ControllerHost, Controller> maker;
  private VirtualTime time;
  private Links links;
  private VirtualNet net;
  private History history;
  private EndpointList register;
  private Trial trial;
  private Settings settings;
  private Random work;
  private Map<String, Machine> machines;
  private final List<Fault> inForce = new ArrayList<>();
  private boolean over;

  /** Makes one that plays the decisions of service. */
  SimulationStage() {
    this(OverloadController::new);
  }

  /** Makes one with other decisions, to see that the oracles catch them. */
  SimulationStage(BiFunction<Settings, ControllerHost, Controller> maker) {
    this.maker = maker;
  }

  @Override
  public History play(Trial given, Consumer<String> progress) throws IOException {
    trial = given;
    time = new VirtualTime();
    links = new Links();
    history = new History();
    machines = new LinkedHashMap<>();
    inForce.clear();
    over = false;
    history.onEnd =
        call -> {
          PoolLine pool = machines.get(call.server()).pool;
          if (pool != null) {
            pool.cores.over(call.trace());
          }
        };
    Random random = new Random(trial.seed());
    net = new VirtualNet(time, links, new Random(random.nextLong()));
    work = new Random(random.nextLong());
    settings = settings();
    Map<String, SimulatedGateway> gateways =
        SimulatedGateway.all(trial, time, random, new Sent(), history);
    register = new EndpointList(time, links, gateways);
    for (String name : trial.servers()) {
      Machine machine = new Machine(name);
      machines.put(name, machine);
      machine.start(0);
    }
    gateways.values().forEach(one -> one.list(trial.servers()));
    trial.servers().forEach(register::heard);
    register.start();
    Callers callers =
        new Callers(trial, time, new Random(random.nextLong()), List.copyOf(gateways.values()));
    callers.start();
    for (Fault fault : trial.faults()) {
      time.schedule((long) (fault.at() * SECOND), () -> apply(fault));
    }
    finish(callers, gateways);
    return history;
  }

  private void finish(Callers callers, Map<String, SimulatedGateway> gateways) {
    long end = (long) (trial.seconds() * SECOND);
    time.until(end);
    long last = end + trial.load().longestMs() * MILLI;
    while (time.now() < last && callers.waiting() > 0) {
      time.until(time.now() + LEAVE_LOOK);
    }
    for (Fault one : new ArrayList<>(inForce)) {
      if (one.kind().link || Fault.LIFTED.contains(one.kind())) {
        lift(one);
      }
    }
    machines.values().forEach(Machine::leave);
    time.until(time.now() + (trial.fleet().stopMs() + 200) * MILLI);
    over = true;
    gateways.values().forEach(SimulatedGateway::end);
    register.end();
  }

  private Settings settings() throws IOException {
    InetSocketAddress local = new InetSocketAddress("127.0.0.1", 1);
    return Config.read(
            new StringReader(
                ServerProcess.config(
                    new ServerProcess.Place("s", local, local, local, local), trial.fleet())))
        .settings();
  }

  // faults

  private void apply(Fault fault) {
    int place = history.applied.size();
    history.applied.add(new History.Applied(time.now(), Long.MAX_VALUE / 2, fault));
    inForce.add(fault);
    switch (fault.kind()) {
      case SEVER -> {
        machines.values().forEach(one -> one.severed(fault));
        settle(place, fault);
      }
      case HEAL -> {
        links.apply(fault);
        net.changed();
        settle(place, fault);
      }
      default -> {
        if (Fault.PROCESSES_ONLY.contains(fault.kind())) {
          history.troubles.add(fault.kind().word() + " is played by processes only");
        } else if (fault.kind().link) {
          links.apply(fault);
        } else {
          fault.from().forEach(name -> machines.get(Trial.machine(name)).strike(fault));
        }
      }
    }
    if (fault.seconds() > 0) {
      time.schedule(time.now() + (long) (fault.seconds() * SECOND), () -> lift(fault));
    }
  }

  private void settle(int place, Fault fault) {
    History.Applied was = history.applied.get(place);
    history.applied.set(place, new History.Applied(was.at(), time.now(), fault));
    inForce.remove(fault);
  }

  private void lift(Fault fault) {
    if (over || !inForce.contains(fault)) {
      return;
    }
    for (int i = 0; i < history.applied.size(); i++) {
      if (history.applied.get(i).fault() == fault) {
        settle(i, fault);
      }
    }
    if (fault.kind().link) {
      links.revert(fault);
      net.changed();
    } else {
      fault.from().forEach(name -> machines.get(Trial.machine(name)).recover(fault));
    }
  }

  /** A server with its pool, over all its lives. */
  private final class Machine extends VirtualMachine {
    private final String name;
    private final Map<String, Open> open = new LinkedHashMap<>();
    private History.Life life;
    private Broker broker;
    private PoolLine pool;

    Machine(String name) {
      super(time);
      this.name = name;
    }

    void start(long boot) {
      int mine = begin();
      life = new History.Life(name, mine, time.now());
      history.lives.add(life);
      PoolCores cores =
          new PoolCores(
              new PoolCores.Work(
                  trial.fleet().cores(),
                  trial.fleet().workMs(),
                  trial.fleet().spread(),
                  trial.fleet().halting()),
              time,
              new Random(work.nextLong()),
              history.journal(name));
      pool = new PoolLine(this, mine, cores);
      broker = new Broker(settings, maker, pool, timers(mine), new Counters(), line -> {});
      pool.broker = broker;
      timers(mine)
          .schedule(
              time.now() + boot,
              () -> {
                life.readyAt = time.now();
                broker.poolConnected(mine > 1, mine > 1 ? 0 : 3600 * SECOND);
                report(mine);
              });
    }

    private void report(int mine) {
      net.send(name, Trial.ANNOUNCE, () -> register.heard(name));
      timers(mine).schedule(time.now() + REPORT, () -> report(mine));
    }

    void strike(Fault fault) {
      switch (fault.kind()) {
        case KILL, WIPE -> {
          if (running()) {
            life.killed = true;
            pool.cores.lose();
            end(-1);
          }
        }
        case STOP -> {
          still(true);
          pool.cores.hold(true);
        }
        case DIP -> pool.cores.speed(fault.value());
        case HANG -> pool.cores.hang(true);
        case MUTE -> pool.cores.mute(fault.value());
        case LEAVE -> leave();
        default -> {}
      }
    }

    void recover(Fault fault) {
      switch (fault.kind()) {
        case KILL, WIPE, LEAVE -> {
          if (!running()) {
            start(BOOT);
          }
        }
        case STOP -> {
          pool.cores.hold(false);
          still(false);
        }
        case DIP -> pool.cores.speed(1);
        case HANG -> pool.cores.hang(false);
        case MUTE -> pool.cores.mute(0);
        default -> {}
      }
    }

    /** Its process is over: whoever waits for an answer learns it by the end of the connection. */
    private void end(int status) {
      end();
      life.endedAt = time.now();
      life.status = status;
      List<Open> lost = new ArrayList<>(open.values());
      open.clear();
      lost.forEach(one -> one.tell(Wire.Reply.bare(End.LOST)));
    }

    void leave() {
      if (!running() || life.noticeAt >= 0) {
        return;
      }
      life.noticeAt = time.now();
      long stopAt = time.now() + trial.fleet().stopMs() * MILLI;
      int mine = starts();
      run(mine, () -> broker.drain(life.noticeAt, stopAt, false));
      look(mine, stopAt);
    }

    private void look(int mine, long stopAt) {
      if (!running() || mine != starts()) {
        return;
      }
      if (!standsStill() && broker.isDraining() && broker.pendingCount() == 0) {
        end(0);
      } else if (time.now() >= stopAt) {
        life.overstayed = true;
        life.killed = true;
        end(-1);
      } else {
        time.schedule(time.now() + LEAVE_LOOK, () -> look(mine, stopAt));
      }
    }

    void severed(Fault fault) {
      if (Links.touches(fault, name, Trial.pool(name))
          || Links.touches(fault, Trial.pool(name), name)) {
        pool.breaks();
      }
      for (Open one : new ArrayList<>(open.values())) {
        if (Links.touches(fault, one.gateway, name) || Links.touches(fault, name, one.gateway)) {
          open.remove(one.ask.trace());
          one.tell(Wire.Reply.bare(End.LOST));
          one.severed = true;
          run(starts(), () -> broker.cancelled(one.exchange));
        }
      }
    }
  }

  /** A request that a server has read. */
  private final class Open implements ResponseSink {
    final String gateway;
    final Machine machine;
    final Wire.Ask ask;
    final Consumer<Wire.Reply> then;
    Exchange exchange;
    boolean severed;

    Open(String gateway, Machine machine, Wire.Ask ask, Consumer<Wire.Reply> then) {
      this.gateway = gateway;
      this.machine = machine;
      this.ask = ask;
      this.then = then;
    }

    void tell(Wire.Reply reply) {
      net.send(machine.name, gateway, () -> then.accept(reply));
    }

    /**
     * What a server that stood still says on a connection that was severed meanwhile reaches
     * nobody.
     */
    private void answer(Wire.Reply reply) {
      machine.open.remove(ask.trace());
      if (!severed) {
        tell(reply);
      }
    }

    @Override
    public void sendResult(byte[] result) {
      answer(new Wire.Reply(End.SERVED, 0, true, result));
    }

    @Override
    public void sendRejection(boolean last, long holdOffMs) {
      answer(new Wire.Reply(End.REFUSED, holdOffMs, !last, new byte[0]));
    }

    @Override
    public void sendFailure(String code) {
      answer(Wire.Reply.bare(End.FAILED));
    }
  }

  /** What gateways send, as messages on virtual streams. */
  private final class Sent implements Wire {
    @Override
    public void ask(String gateway, String server, Ask ask, Consumer<Reply> then) {
      Machine machine = machines.get(server);
      net.send(
          gateway,
          server,
          () -> {
            if (!machine.running() || (machine.life.noticeAt >= 0 && machine.open.isEmpty())) {
              net.send(server, gateway, () -> then.accept(Reply.bare(End.UNREACHED)));
              return;
            }
            Open one = new Open(gateway, machine, ask, then);
            machine.open.put(ask.trace(), one);
            machine.run(
                machine.starts(),
                () ->
                    one.exchange =
                        machine.broker.submit(
                            new InboundRequest(
                                ask.trace(),
                                ask.acceptedAtMs(),
                                "one",
                                ask.kind(),
                                Gateway.RESERVE_KB,
                                ask.rank(),
                                null,
                                null,
                                InboundRequest.NOT_STATED,
                                ask.body()),
                            one));
          });
    }

    @Override
    public void leave(String gateway, String server, String trace) {
      Machine machine = machines.get(server);
      net.send(
          gateway,
          server,
          () -> {
            Open one = machine.open.remove(trace);
            if (one != null) {
              machine.run(
                  machine.starts(),
                  () -> {
                    if (one.exchange != null) {
                      machine.broker.cancelled(one.exchange);
                    }
                  });
            }
          });
    }

    @Override
    public void check(String gateway, String server, Consumer<Boolean> then) {
      Machine machine = machines.get(server);
      net.send(
          gateway,
          server,
          () -> {
            if (!machine.running()) {
              net.send(server, gateway, () -> then.accept(false));
            } else {
              machine.run(
                  machine.starts(),
                  () ->
                      machine.broker.healthCheck(
                          false, good -> net.send(server, gateway, () -> then.accept(good))));
            }
          });
    }
  }

  /**
   * The link between a server and its pool: commands may be lost with it, notices come again on the
   * next one.
   */
  private final class PoolLine implements WorkerPool {
    private record Notice(String id, String code, long took, byte[] body) {}

    private final Machine machine;
    private final int mine;
    private final PoolCores cores;
    private final List<Notice> notices = new ArrayList<>();
    private Broker broker;
    private boolean linked = true;
    private int link;
    private int read;

    PoolLine(Machine machine, int mine, PoolCores cores) {
      this.machine = machine;
      this.mine = mine;
      this.cores = cores;
    }

    private void command(Runnable work) {
      int now = link;
      net.send(
          machine.name,
          Trial.pool(machine.name),
          () -> {
            if (now == link && mine == machine.starts()) {
              work.run();
            }
          });
    }

    private void back(Runnable work) {
      int now = link;
      net.send(
          Trial.pool(machine.name),
          machine.name,
          () -> {
            if (now == link) {
              machine.run(mine, work);
            }
          });
    }

    private void ended(String id, String code, long took, byte[] body) {
      notices.add(new Notice(id, code, took, body));
      if (linked) {
        tell(notices.size());
      }
    }

    private void tell(int number) {
      Notice one = notices.get(number - 1);
      back(
          () -> {
            read = number;
            switch (one.code) {
              case "done" ->
                  broker.runEnded(
                      one.id, RunOutcome.SUCCEEDED, one.took, StandInPool.made(one.body));
              case "stale" -> broker.runEnded(one.id, RunOutcome.NOT_STARTED, 0, null);
              default -> broker.runEnded(one.id, RunOutcome.STOPPED, one.took, null);
            }
          });
    }

    void breaks() {
      if (!linked) {
        return;
      }
      linked = false;
      link++;
      machine.run(mine, () -> broker.poolDisconnected());
      time.schedule(time.now() + RELINK, this::again);
    }

    private void again() {
      if (!machine.running() || mine != machine.starts()) {
        return;
      }
      command(
          () -> {
            linked = true;
            for (int number = read + 1; number <= notices.size(); number++) {
              tell(number);
            }
            back(() -> broker.resynchronized());
          });
    }

    @Override
    public boolean isReady() {
      return linked;
    }

    @Override
    public boolean startRun(Exchange exchange) {
      if (!linked) {
        return false;
      }
      InboundRequest one = exchange.request();
      command(() -> cores.spawn(one.id(), one.className(), one.body(), mine, this::ended));
      return true;
    }

    @Override
    public void stopRun(String id) {
      command(() -> cores.suspend(id));
    }

    @Override
    public void resumeRun(String id) {
      command(() -> cores.proceed(id));
    }

    @Override
    public void requestGauges(String echo) {
      command(
          () -> {
            if (!cores.answersPoll()) {
              return;
            }
            double[] gauges = cores.gauges();
            back(() -> broker.gaugesReceived(echo, gauges));
          });
    }

    @Override
    public void startHealthCheck(String echo) {
      command(() -> back(() -> broker.healthCheckEnded(echo, true)));
    }
  }
}
