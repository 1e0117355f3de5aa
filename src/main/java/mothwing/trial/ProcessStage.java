package mothwing.trial;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import mothwing.broker.Scheduler;

/**
 * Plays a trial with real processes of the program, each a machine with an address and a folder as
 * its disk.
 */
final class ProcessStage implements Stage, AutoCloseable {
  private static final long MILLI = 1000;
  private static final long SECOND = 1_000_000;
  private static final long LOOK = 10 * MILLI;
  private static final long SIZES = 500 * MILLI;
  private static final long START_WAIT = 30 * SECOND;
  private static final long UPGRADE_LONGEST_MS = 3000;
  private static final long UPGRADE_MORE_MS = 700;
  private static final long AFTER_STOP_MS = 200;
  private static final long IDLE_AFTER =
      1200 * MILLI; // after a notice: idle connections are closed by then
  private static final int TAIL = 12;

  /** One process of a machine, with the pool's address that it was given. */
  private final class Running {
    final ServerProcess process;
    final StandInPool pool;
    final SocketChannel adminPort;
    final History.Life life;
    private long stillSince = -1;
    private long stoodStill;

    /** Microseconds for which it has stood still. */
    synchronized long stood() {
      return stoodStill + (stillSince < 0 ? 0 : epoch.now() - stillSince);
    }

    synchronized void still(boolean still) throws IOException {
      if (still == stillSince < 0) {
        stoodStill = stood();
        stillSince = still ? epoch.now() : -1;
        process.signal(still ? "STOP" : "CONT");
      }
    }

    Running(ServerProcess process, StandInPool pool, SocketChannel adminPort, History.Life life) {
      this.process = process;
      this.pool = pool;
      this.adminPort = adminPort;
      this.life = life;
    }
  }

  /** A machine: what it keeps over the starts of its processes. */
  private final class Machine {
    final String name;
    final int number;
    final Path disk;
    final SocketChannel listen;
    final Object lock = new Object();
    InetSocketAddress announce;
    final List<Running> running = new CopyOnWriteArrayList<>(); // the oldest first
    PoolCores cores;
    volatile Running now;
    volatile Running old; // that which is to go in an upgrade, once there was one
    volatile Running next; // that which follows it
    int starts;
    final List<SupervisedProcess> crowd = new ArrayList<>();

    Machine(String name, int number) throws IOException {
      this.name = name;
      this.number = number;
      disk = folder.resolve(name);
      listen = ServerProcess.port(address(1, number));
    }
  }

  private final Path folder;
  private final String program;
  private final Map<String, String> environment;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ExecutorService hands =
      Executors.newCachedThreadPool(work -> daemon(work, "rig-hand"));
  private final Phaser busyHands = new Phaser(1); // steps under way
  private final TrialClock epoch = new TrialClock();
  private final Scheduler timers = epoch.on(loop, new Object());
  private final Links links = new Links();
  private final History history = new History();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<String, SimulatedGateway> gateways = new LinkedHashMap<>();
  private final Map<Fault, History.Applied> inForce = new LinkedHashMap<>();
  private Relay relay;
  private GatewaySockets sockets;
  private EndpointList register;
  private StandInDiscoveryService bureau;
  private Trial trial;
  private boolean ending; // what was killed is not started again
  private boolean over;

  /**
   * Makes one that plays this program.
   *
   * @param folder where the machines' disks and the logs lie
   */
  ProcessStage(Path folder) {
    this(folder, "mothwing.Main");
  }

  /** Makes one that plays another main class, which is started as {@code serve --config FILE}. */
  ProcessStage(Path folder, String program) {
    this(folder, program, Map.of());
  }

  /** The same, with further variables in the environment of each server. */
  ProcessStage(Path folder, String program, Map<String, String> environment) {
    this.folder = folder;
    this.program = program;
    this.environment = environment;
  }

  private static Thread daemon(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    return thread;
  }

  /** The loopback address of a host of one of the rig's nets. */
  static InetAddress address(int net, int host) throws IOException {
    return InetAddress.getByAddress(new byte[] {127, 0, (byte) net, (byte) host});
  }

  private <T> T onLoop(Callable<T> work) throws IOException, InterruptedException {
    try {
      return loop.submit(work).get();
    } catch (ExecutionException failed) {
      throw new IOException(failed.getCause().getMessage(), failed.getCause());
    }
  }

  @Override
  public History play(Trial given, Consumer<String> progress)
      throws IOException, InterruptedException {
    trial = given;
    Random random = new Random(trial.seed());
    relay = new Relay(loop, links, new Random(random.nextLong()));
    Map<String, InetAddress> from = new LinkedHashMap<>();
    for (String one : trial.gateways()) {
      from.put(one, address(3, from.size() + 1));
      relay.name(from.get(one), one);
    }
    sockets = new GatewaySockets(loop, timers, relay, from);
    gateways.putAll(onLoop(() -> SimulatedGateway.all(trial, timers, random, sockets, history)));
    register = onLoop(() -> new EndpointList(timers, links, gateways));
    history.onEnd = call -> touch(machines.get(call.server()), cores -> cores.over(call.trace()));
    bureau = new StandInDiscoveryService(loop, address(6, 1), name -> register.heard(name));
    progress.accept("starting " + trial.fleet().servers() + " servers");
    List<Long> workSeeds = new ArrayList<>();
    for (String name : trial.servers()) {
      Machine machine = new Machine(name, machines.size() + 1);
      machines.put(name, machine);
      relay.name(address(1, machine.number), name);
      sockets.server(
          name,
          relay.open(
              name,
              "",
              address(2, machine.number),
              new InetSocketAddress(
                  address(1, machine.number), ServerProcess.number(machine.listen))));
      machine.announce =
          relay.open(Trial.ANNOUNCE, name, address(6, 1 + machine.number), bureau.address());
      workSeeds.add(random.nextLong());
    }
    List<Running> first = new ArrayList<>();
    for (Machine one : machines.values()) {
      first.add(start(one, new Random(workSeeds.get(first.size()))));
    }
    for (Running one : first) {
      awaitReady(one);
    }
    List<String> all = trial.servers();
    onLoop(
        () -> {
          gateways.values().forEach(one -> one.list(all));
          all.forEach(register::heard);
          register.start();
          return null;
        });
    return run(new Random(random.nextLong()), progress);
  }

  private History run(Random random, Consumer<String> progress)
      throws IOException, InterruptedException {
    Callers callers = new Callers(trial, timers, random, List.copyOf(gateways.values()));
    onLoop(
        () -> {
          epoch.begin();
          look(timers.now() + LOOK);
          sizes();
          callers.start();
          for (Fault fault : trial.faults()) {
            timers.schedule((long) (fault.at() * SECOND), () -> apply(fault, progress));
          }
          return null;
        });
    long end = (long) (trial.seconds() * SECOND);
    waitUntil(end, progress);
    long last = end + trial.load().longestMs() * MILLI;
    while (epoch.now() < last && onLoop(callers::waiting) > 0) {
      TimeUnit.MILLISECONDS.sleep(LOOK / MILLI);
    }
    liftAll();
    drainAll();
    onLoop(
        () -> {
          over = true;
          gateways.values().forEach(SimulatedGateway::end);
          register.end();
          return null;
        });
    return history;
  }

  private void waitUntil(long end, Consumer<String> progress) throws InterruptedException {
    long told = 0;
    while (epoch.now() < end) {
      TimeUnit.MILLISECONDS.sleep(Math.min(LOOK, Math.max(1, end - epoch.now())) / MILLI + 1);
      if (epoch.now() >= told) {
        progress.accept(
            Fault.number(told / 1e6)
                + " s: "
                + history.calls.size()
                + " tries, "
                + history.runs.size()
                + " runs");
        told += SECOND;
      }
    }
  }

  /** Looks at how late the rig itself is. */
  private void look(long due) {
    long now = timers.now();
    history.lateness.add(Math.max(0, now - due));
    if (!over) {
      timers.schedule(now + LOOK, () -> look(now + LOOK));
    }
  }

  private void sizes() {
    if (!over) {
      for (Machine one : machines.values()) {
        hands.execute(() -> size(one));
      }
      timers.schedule(timers.now() + SIZES, this::sizes);
    }
  }

  private void size(Machine machine) {
    Running running = machine.now;
    if (running == null) {
      return;
    }
    Path proc = Path.of("/proc", Long.toString(running.process.pid()));
    try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
      int descriptors = (int) open.count();
      for (String line : Files.readAllLines(proc.resolve("status"))) {
        if (line.startsWith("VmRSS:")) {
          history.sizes.add(
              new History.Size(
                  machine.name,
                  running.life.life,
                  epoch.now(),
                  Long.parseLong(line.replaceAll("[^0-9]", "")),
                  descriptors,
                  processorMs(proc)));
        }
      }
    } catch (IOException | UncheckedIOException gone) {
      // it has ended meanwhile
    }
  }

  /**
   * Processor time of a process, in steps of the kernel's clock tick, which is 10 ms on all common
   * machines.
   */
  private static long processorMs(Path proc) throws IOException {
    String stat = Files.readString(proc.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10; // user and system time
  }

  // processes

  private Running start(Machine machine, Random work) throws IOException {
    if (machine.cores == null) {
      machine.cores =
          new PoolCores(
              new PoolCores.Work(
                  trial.fleet().cores(),
                  trial.fleet().workMs(),
                  trial.fleet().spread(),
                  trial.fleet().halting()),
              epoch.on(loop, machine.lock),
              work,
              history.journal(machine.name));
    }
    machine.starts++;
    StandInPool pool =
        new StandInPool(address(4, machine.number), machine.cores, machine.lock, machine.starts);
    InetSocketAddress poolAddress =
        relay.open(
            Trial.pool(machine.name), machine.name, address(5, machine.number), pool.address());
    SocketChannel adminPort = ServerProcess.port(address(1, machine.number));
    History.Life life = new History.Life(machine.name, machine.starts, epoch.now());
    Path log = folder.resolve(machine.name + ".log");
    ServerProcess process =
        new ServerProcess(
            machine.disk,
            new ServerProcess.Place(
                machine.name,
                new InetSocketAddress(
                    address(1, machine.number), ServerProcess.number(machine.listen)),
                new InetSocketAddress(address(1, machine.number), ServerProcess.number(adminPort)),
                poolAddress,
                machine.announce),
            trial.fleet(),
            program,
            environment,
            line -> append(log, line));
    history.lives.add(life);
    Running running = new Running(process, pool, adminPort, life);
    process
        .ended()
        .thenAccept(
            status -> {
              life.endedAt = epoch.now();
              life.status = status;
            });
    machine.running.add(running);
    machine.now = running;
    return running;
  }

  private static synchronized void append(Path log, String line) {
    try {
      Files.writeString(
          log,
          line + "\n",
          java.nio.file.StandardOpenOption.CREATE,
          java.nio.file.StandardOpenOption.APPEND);
    } catch (IOException full) {
      // the history does not rest on it
    }
  }

  private void awaitReady(Running one) throws IOException, InterruptedException {
    long until = epoch.now() + START_WAIT;
    while (!one.process.call("HEALTH").startsWith("YES")) {
      if (!one.process.alive() || epoch.now() > until) {
        List<String> lines = new ArrayList<>(one.process.lines);
        throw new IOException(
            one.life.machine
                + (one.process.alive() ? " does not take clients" : " ended as it started")
                + "; its last lines: "
                + String.join(
                    " | ", lines.subList(Math.max(0, lines.size() - TAIL), lines.size())));
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    one.life.readyAt = epoch.now();
  }

  // faults; on the loop, what may block on the hands

  private void apply(Fault fault, Consumer<String> progress) {
    if (over) {
      return;
    }
    progress.accept(Fault.number(timers.now() / 1e6) + " s: " + fault.script());
    long began = timers.now();
    History.Applied applied = new History.Applied(began, Long.MAX_VALUE / 2, fault);
    history.applied.add(applied);
    inForce.put(fault, applied);
    if (fault.kind() == Fault.Kind.SEVER) {
      relay.sever(fault);
      settle(fault);
    } else if (fault.kind().link) {
      links.apply(fault);
      relay.changed();
      if (fault.kind() == Fault.Kind.HEAL) {
        healed(fault);
      }
    } else {
      fault.from().forEach(one -> onMachine(machines.get(Trial.machine(one)), one, fault));
    }
    if (fault.seconds() > 0) {
      timers.schedule(began + (long) (fault.seconds() * SECOND), () -> lift(fault));
    }
  }

  /** What a heal takes back ends now, in the history too. */
  private void healed(Fault heal) {
    for (Fault one : new ArrayList<>(inForce.keySet())) {
      if (one.kind().link
          && one.from().stream()
              .allMatch(
                  a ->
                      one.to().stream()
                          .allMatch(
                              b ->
                                  links.way(a, b).equals(Links.Way.CLEAR)
                                      && links.way(b, a).equals(Links.Way.CLEAR)))) {
        settle(one);
      }
    }
    settle(heal);
  }

  private void settle(Fault fault) {
    History.Applied was = inForce.remove(fault);
    if (was != null) {
      history.applied.set(
          history.applied.indexOf(was), new History.Applied(was.at(), timers.now(), fault));
    }
  }

  private void lift(Fault fault) {
    boolean starts =
        fault.kind() == Fault.Kind.KILL
            || fault.kind() == Fault.Kind.WIPE
            || fault.kind() == Fault.Kind.LEAVE;
    if (!inForce.containsKey(fault) || (ending && starts)) {
      return;
    }
    if (fault.kind().link) {
      links.revert(fault);
      relay.changed();
      settle(fault);
      return;
    }
    for (String name : fault.from()) {
      Machine machine = machines.get(Trial.machine(name));
      hand(
          () -> {
            switch (fault.kind()) {
              case STOP -> still(machine, name, false);
              case DIP -> speed(machine, 1);
              case HANG -> touch(machine, cores -> cores.hang(false));
              case MUTE -> touch(machine, cores -> cores.mute(0));
              case CROWD -> leaveCrowd(machine);
              case KILL, WIPE, LEAVE -> {
                if (machine.now != null) {
                  return; // one of its processes goes on
                }
                machine.cores = null;
                machine.old = null;
                machine.next = null;
                Running again = start(machine, new Random(trial.seed() + machine.starts));
                awaitReady(again);
                loop.execute(() -> register.heard(machine.name));
              }
              default -> {}
            }
            loop.execute(() -> settle(fault));
          });
    }
  }

  /** A step that may block. */
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private void hand(Step step) {
    busyHands.register();
    hands.execute(
        () -> {
          try {
            step.run();
          } catch (IOException failed) {
            history.troubles.add(failed.getMessage());
          } catch (InterruptedException broken) {
            Thread.currentThread().interrupt();
          } finally {
            busyHands.arriveAndDeregister();
          }
        });
  }

  private void onMachine(Machine machine, String who, Fault fault) {
    hand(
        () -> {
          switch (fault.kind()) {
            case KILL, WIPE -> kill(machine, who, fault.kind() == Fault.Kind.WIPE);
            case STOP -> still(machine, who, true);
            case LEAVE -> leave(machine, machine.now, trial.fleet().stopMs() + AFTER_STOP_MS);
            case UPGRADE -> {
              upgrade(machine);
              loop.execute(() -> settle(fault));
            }
            case DIP -> speed(machine, fault.value());
            case HANG -> touch(machine, cores -> cores.hang(true));
            case MUTE -> touch(machine, cores -> cores.mute(fault.value()));
            case CROWD -> crowd(machine, (int) fault.value());
            default -> {}
          }
        });
  }

  private void speed(Machine machine, double share) {
    touch(machine, cores -> cores.speed(share));
  }

  private static void touch(Machine machine, Consumer<PoolCores> work) {
    synchronized (machine.lock) {
      if (machine.cores != null) {
        work.accept(machine.cores);
      }
    }
  }

  /** A machine loses power, with all that runs on it; or one of its processes alone is killed. */
  private void kill(Machine machine, String who, boolean wipe) throws IOException {
    boolean power = who.equals(machine.name);
    if (power) {
      synchronized (machine.lock) {
        machine.cores.lose();
      }
    }
    for (Running was : chosen(machine, who)) {
      was.life.killed = true;
      was.process.kill();
      machine.running.remove(was);
      if (power) {
        was.pool.close();
        was.adminPort.close();
      }
    }
    machine.now =
        machine.running.isEmpty() ? null : machine.running.get(machine.running.size() - 1);
    if (wipe) {
      delete(machine.disk);
    }
  }

  private void still(Machine machine, String who, boolean still) throws IOException {
    for (Running one : chosen(machine, who)) {
      one.still(still);
    }
    if (who.equals(machine.name)) {
      synchronized (machine.lock) {
        machine.cores.hold(still);
      }
    }
  }

  /**
   * The processes that a name means: all of a machine, the old one or the new one of an upgrade.
   */
  private static List<Running> chosen(Machine machine, String who) {
    List<Running> all = new ArrayList<>(machine.running);
    if (who.endsWith(Trial.OLD)) {
      all.removeIf(one -> one != (machine.old == null ? machine.now : machine.old));
    } else if (who.endsWith(Trial.NEW)) {
      all.removeIf(one -> one != machine.next);
    }
    return all;
  }

  private void leave(Machine machine, Running who, long patienceMs)
      throws IOException, InterruptedException {
    if (who == null || !who.process.alive()) {
      return;
    }
    who.life.noticeAt = epoch.now();
    who.process.leave();
    long notice = who.life.noticeAt;
    boolean looked = false;
    long stood = who.stood();
    while (who.process.alive() && epoch.now() < notice + patienceMs * MILLI + who.stood() - stood) {
      TimeUnit.MILLISECONDS.sleep(5);
      if (!looked
          && epoch.now() > notice + IDLE_AFTER + who.stood() - stood
          && machine.now == who) {
        looked = true;
        who.life.kept = onLoop(() -> sockets.idle(machine.name, notice + IDLE_AFTER / 2));
        if (!who.process.alive()) {
          who.life.kept = 0;
        }
      }
    }
    if (who.process.alive()) {
      who.life.overstayed = true;
      who.life.killed = true;
      who.process.kill();
    }
    who.process.await();
    who.pool.close();
    who.adminPort.close();
    machine.running.remove(who);
    if (machine.now == who) {
      machine.now = null;
    }
  }

  private void upgrade(Machine machine) throws IOException, InterruptedException {
    Running old = machine.now;
    if (old == null) {
      return;
    }
    machine.old = old;
    Running next = start(machine, null);
    machine.next = next;
    try {
      awaitReady(next);
    } catch (IOException failed) {
      if (next.life.killed) {
        return; // the old one goes on
      }
      throw failed;
    }
    leave(machine, old, Math.min(trial.fleet().deadlineMs(), UPGRADE_LONGEST_MS) + UPGRADE_MORE_MS);
  }

  /** The server and so many busy loops share one core, the highest that this process may use. */
  private void crowd(Machine machine, int busy) throws IOException, InterruptedException {
    String allowed =
        Files.readAllLines(Path.of("/proc/self/status")).stream()
            .filter(line -> line.startsWith("Cpus_allowed_list:"))
            .findFirst()
            .orElse("0");
    String[] ends = allowed.split("[^0-9]+");
    String core = ends[ends.length - 1];
    if (machine.now != null) {
      new ProcessBuilder(
              "taskset", "-a", "-p", "-c", core, Long.toString(machine.now.process.pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start()
          .waitFor();
    }
    for (int i = 0; i < busy; i++) {
      machine.crowd.add(
          new SupervisedProcess(
              List.of("taskset", "-c", core, "/bin/sh", "-c", "while :; do :; done"), line -> {}));
    }
  }

  private static void leaveCrowd(Machine machine) {
    machine.crowd.forEach(SupervisedProcess::close);
    machine.crowd.clear();
  }

  static void delete(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(one);
      }
    }
  }

  // the end

  private void liftAll() throws IOException, InterruptedException {
    onLoop(
        () -> {
          ending = true;
          for (Fault one : new ArrayList<>(inForce.keySet())) {
            if (one.kind().link || Fault.LIFTED.contains(one.kind())) {
              lift(one);
            }
          }
          return null;
        });
    busyHands.arriveAndAwaitAdvance();
  }

  private void drainAll() throws InterruptedException {
    CountDownLatch gone = new CountDownLatch(machines.size());
    for (Machine one : machines.values()) {
      daemon(
              () -> {
                try {
                  leave(one, one.now, trial.fleet().stopMs() + AFTER_STOP_MS);
                } catch (IOException failed) {
                  history.troubles.add(one.name + ": " + failed.getMessage());
                } catch (InterruptedException broken) {
                  Thread.currentThread().interrupt();
                } finally {
                  gone.countDown();
                }
              },
              "leave-" + one.name)
          .start();
    }
    gone.await();
  }

  @Override
  public void close() {
    over = true;
    hands.shutdownNow();
    for (Machine one : machines.values()) {
      leaveCrowd(one);
      try {
        one.listen.close();
        for (Running running : one.running) {
          running.process.close();
          running.pool.close();
          running.adminPort.close();
        }
      } catch (IOException closed) {
        // all that is wanted is its end
      }
    }
    if (relay != null) {
      relay.close();
    }
    if (bureau != null) {
      bureau.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
