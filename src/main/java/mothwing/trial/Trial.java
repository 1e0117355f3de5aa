package mothwing.trial;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One description of a trial, played by either stage.
 *
 * @param name its name
 * @param seed of all random numbers of callers, work and faults
 * @param seconds for which callers ask; what is open then is waited for
 * @param fleet the machines
 * @param load what is asked of them
 * @param faults in order of time
 * @param drawn bounds of further faults, which the seed says, or null for none
 * @param rules what has to hold, of {@link Oracles#RULES}
 */
record Trial(
    String name,
    long seed,
    double seconds,
    Fleet fleet,
    Load load,
    List<Fault> faults,
    FaultBounds drawn,
    Set<String> rules) {
  /** The machine at which servers report. */
  static final String ANNOUNCE = "announce";

  /** Behind a server's name: the process that is to go in its upgrade. */
  static final String OLD = ".old";

  /** Behind a server's name: the process that follows. */
  static final String NEW = ".new";

  /** The class that must run once. */
  static final String ORDER = BrokerFixture.ORDER;

  /**
   * The machines.
   *
   * @param servers shop servers, s1 and on, each with a pool (s1.pool)
   * @param cores of a pool
   * @param workMs mean milliseconds of work of a request
   * @param spread of it, as a share to either side
   * @param deadlineMs by which an answer is due
   * @param memoryMb most resident memory of a process
   * @param sockets most descriptors of a process
   * @param stopMs from the notice to leave to the end
   * @param memoryRuns started runs a core that the pool's memory bears
   * @param halting what the pool does to a run that it is told to stop
   */
  record Fleet(
      int servers,
      int cores,
      double workMs,
      double spread,
      long deadlineMs,
      int memoryMb,
      int sockets,
      long stopMs,
      int memoryRuns,
      Halting halting) {
    static final Fleet USUAL =
        new Fleet(3, 2, 60, 0.3, 4500, 192, 1024, 3200, 1000, Halting.SUSPEND);

    /** One server for tests that bring their own pool. */
    static Fleet single() {
      return new Fleet(1, 4, 0, 0, 4500, 192, 256, 3200, 500, Halting.SUSPEND);
    }

    /** The same with another number of servers. */
    Fleet withServers(int other) {
      return new Fleet(
          other, cores, workMs, spread, deadlineMs, memoryMb, sockets, stopMs, memoryRuns, halting);
    }

    /** Started runs that the whole pool's memory bears. */
    int mostRuns() {
      return memoryRuns * cores;
    }
  }

  /** What a pool does to a run that it is told to stop. */
  enum Halting {
    /** It keeps the run, which may go on later. */
    SUSPEND,
    /** It throws the run's work away. */
    ABORT,
    /** It cannot stop runs. */
    SILENT;

    /** Its name in scripts and settings. */
    String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** How a gateway chooses. */
  enum Habit {
    /** One after the other. */
    ROUND_ROBIN,
    /** The same until it fails. */
    STICK,
    /** One after the other of those whose health checks are good. */
    CHECKED
  }

  /**
   * What is asked.
   *
   * @param rate requests a second, without further tries
   * @param orders share of them that must run once
   * @param gateways g1 and on
   * @param habits how they choose, in turn
   * @param heed share of them that heed advice to stay away
   * @param retries further tries of a caller, at most
   * @param backoffMs mean time before one
   * @param patienceMs after which a gateway stops waiting
   */
  record Load(
      double rate,
      double orders,
      int gateways,
      List<Habit> habits,
      double heed,
      int retries,
      double backoffMs,
      long patienceMs) {
    static final Load USUAL = new Load(30, 0.3, 2, List.of(Habit.ROUND_ROBIN), 0.5, 2, 200, 5000);

    Load {
      habits = List.copyOf(habits);
    }

    /** Milliseconds after the last caller came in which all have their answers or have given up. */
    long longestMs() {
      return 2 * patienceMs + (long) (retries * (patienceMs + backoffMs * 2));
    }
  }

  Trial {
    faults = faults.stream().sorted(Comparator.comparingDouble(Fault::at)).toList();
    rules = Set.copyOf(rules);
  }

  List<String> servers() {
    return numbered("s", fleet.servers());
  }

  List<String> gateways() {
    return numbered("g", load.gateways());
  }

  /** All names that a fault may use. */
  Set<String> machines() {
    Set<String> all = new TreeSet<>(servers());
    servers().forEach(one -> all.add(pool(one)));
    all.addAll(gateways());
    all.add(ANNOUNCE);
    return all;
  }

  /** The server to which a process belongs, or the name itself. */
  static String machine(String name) {
    return name.endsWith(OLD) || name.endsWith(NEW)
        ? name.substring(0, name.length() - OLD.length())
        : name;
  }

  static String pool(String server) {
    return server + ".pool";
  }

  private static List<String> numbered(String letter, int many) {
    return IntStream.rangeClosed(1, many).mapToObj(i -> letter + i).toList();
  }

  Trial withFaults(List<Fault> other) {
    return new Trial(name, seed, seconds, fleet, load, other, drawn, rules);
  }

  /** This trial with the faults that its seed draws, as a schedule of its own. */
  Trial settled() {
    if (drawn == null) {
      return this;
    }
    List<Fault> all = new ArrayList<>(faults);
    all.addAll(drawn.draw(this));
    return new Trial(name, seed, seconds, fleet, load, all, null, rules);
  }

  Trial withSeed(long other) {
    return new Trial(name, other, seconds, fleet, load, faults, drawn, rules);
  }

  Trial withSeconds(double other) {
    return new Trial(name, seed, other, fleet, load, faults, drawn, rules);
  }

  Trial withFleet(int servers, int gateways) {
    Load l = load;
    return new Trial(
        name,
        seed,
        seconds,
        fleet.withServers(servers),
        new Load(
            l.rate, l.orders, gateways, l.habits, l.heed, l.retries, l.backoffMs, l.patienceMs),
        faults,
        drawn,
        rules);
  }

  /** A script that makes this trial again. */
  String script() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "trial(name = \""
            + name
            + "\", seconds = "
            + Fault.number(seconds)
            + ", seed = "
            + seed
            + ")");
    lines.add(
        "fleet(servers = "
            + fleet.servers
            + ", cores = "
            + fleet.cores
            + ", work_ms = "
            + Fault.number(fleet.workMs)
            + ", spread = "
            + Fault.number(fleet.spread)
            + ",\n      deadline_ms = "
            + fleet.deadlineMs
            + ", memory_mb = "
            + fleet.memoryMb
            + ", sockets = "
            + fleet.sockets
            + ", stop_ms = "
            + fleet.stopMs
            + ",\n      memory_runs = "
            + fleet.memoryRuns
            + ", halt = \""
            + fleet.halting.word()
            + "\")");
    lines.add(
        "traffic(rate = "
            + Fault.number(load.rate)
            + ", orders = "
            + Fault.number(load.orders)
            + ", gateways = "
            + load.gateways
            + ", habits = ["
            + load.habits.stream()
                .map(one -> "\"" + one.name().toLowerCase(Locale.ROOT) + "\"")
                .collect(Collectors.joining(", "))
            + "],\n        heed = "
            + Fault.number(load.heed)
            + ", retries = "
            + load.retries
            + ", backoff_ms = "
            + Fault.number(load.backoffMs)
            + ", patience_ms = "
            + load.patienceMs
            + ")");
    lines.add("rules([\"" + String.join("\", \"", new TreeSet<>(rules)) + "\"])");
    if (drawn != null) {
      lines.add(
          "drawn(faults = "
              + drawn.faults()
              + ", longest = "
              + Fault.number(drawn.longest())
              + ", kinds = [\""
              + drawn.kinds().stream()
                  .sorted()
                  .map(Fault.Kind::word)
                  .collect(Collectors.joining("\", \""))
              + "\"])");
    }
    faults.forEach(one -> lines.add(one.script()));
    return String.join("\n", lines) + "\n";
  }
}
