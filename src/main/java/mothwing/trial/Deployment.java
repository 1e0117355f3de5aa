package mothwing.trial;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import mothwing.control.Dependency;
import mothwing.control.FreeValue;
import mothwing.control.Idempotency;
import mothwing.control.Machine;
import mothwing.control.ObjectiveWeights;
import mothwing.control.RequestClass;
import mothwing.control.ServerLimits;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.StopMode;
import mothwing.control.Tenant;

/**
 * A deployment that nobody has: settings within what the platform may say, and the truth that they
 * do not tell.
 *
 * @param seed what it was drawn from
 * @param settings what its servers are told
 * @param kinds by class: what its runs take on a standard core
 * @param rates by class: requests a second, over all servers
 * @param speeds by server: of its cores, to a standard core
 * @param kb memory of a held request, in KB
 * @param tierCores cores of the tier below
 * @param callMs what a call takes there, in milliseconds
 * @param tier what befalls that tier
 * @param load work asked for over what the cores can do
 * @param seconds how long it is played
 */
record Deployment(
    long seed,
    Settings settings,
    List<PoolCores.Kind> kinds,
    double[] rates,
    double[] speeds,
    double kb,
    int tierCores,
    double callMs,
    Tier tier,
    double load,
    double seconds) {
  private static final long SECOND = 1_000_000;
  private static final double MOST_RATE = 500; // requests a second: so that a play takes a second
  private static final int MOST_CLASSES = 12;
  private static final int MOST_CORES = 64;
  private static final int MOST_TENANTS = 50;
  private static final int REQUESTS = 2500;

  /** What befalls the tier below. */
  enum Tier {
    /** Nothing. */
    STEADY,
    /** It works at a third of its speed for a third of the play. */
    SLOW,
    /** It begins at a third of its speed. */
    COLD,
    /** It is gone for two seconds, with all that was asked of it. */
    CRASHED
  }

  /** Draws one. */
  static Deployment drawn(long seed) {
    Random random = new Random(seed * 7919 + 17);
    int count = 1 + random.nextInt(MOST_CLASSES);
    int servers = 1 + random.nextInt(3);
    double[] speeds = random.doubles(servers, 0.4, 1.6).toArray();
    double slowest = Math.min(1, Arrays.stream(speeds).min().orElse(1));
    boolean calls = random.nextBoolean();
    double callMs = log(random, 1, 200);
    List<RequestClass> classes = new ArrayList<>();
    List<PoolCores.Kind> kinds = new ArrayList<>();
    double[] rates = new double[count];
    double meanMs = 0;
    for (int i = 0; i < count; i++) {
      int many = calls && random.nextDouble() < 0.5 ? 1 + random.nextInt(2) : 0;
      PoolCores.Kind kind =
          new PoolCores.Kind(log(random, 2, 3000), random.nextDouble() * 0.8, many);
      double alone = kind.meanMs() * (1 + kind.spread()) / slowest + many * callMs * 2;
      double aim = Math.min(20_000, Math.max(150, alone * (2 + 4 * random.nextDouble())));
      double deadline = Math.min(30_000, Math.max(300, aim * (1.3 + 1.7 * random.nextDouble())));
      classes.add(
          new RequestClass(
              "class-" + i,
              (long) (aim * 1000),
              (long) (deadline * 1000),
              1 + random.nextInt(10),
              random.nextInt(3) == 0 ? 0.3 : 0,
              Idempotency.values()[random.nextInt(3)],
              10 * SECOND,
              many > 0,
              many > 0 && random.nextInt(3) == 0 ? 0.5 : 0));
      kinds.add(kind);
      rates[i] = log(random, 0.1, 1);
      meanMs += rates[i] * kind.meanMs();
    }
    double load = 0.5 + 0.8 * random.nextDouble();
    int cores = (int) Math.ceil(log(random, 0.5, MOST_CORES));
    double speed = Arrays.stream(speeds).sum();
    double factor = load * cores * speed * 1000 / meanMs;
    double total = Arrays.stream(rates).sum() * factor;
    while (cores > 1 && total > MOST_RATE) {
      cores--;
      total = Arrays.stream(rates).sum() * (load * cores * speed * 1000 / meanMs);
    }
    factor = Math.min(load * cores * speed * 1000 / meanMs, MOST_RATE / Arrays.stream(rates).sum());
    double callWork = 0;
    for (int i = 0; i < count; i++) {
      rates[i] *= factor;
      callWork += rates[i] * kinds.get(i).calls() * callMs / 1000;
    }
    total = Arrays.stream(rates).sum();
    double kb = 10 + 50 * random.nextDouble();
    double runFactor = 1 + random.nextInt(20);
    List<Tenant> tenants = new ArrayList<>();
    for (int i = random.nextInt(MOST_TENANTS + 1); i > 0; i--) {
      tenants.add(new Tenant("tenant-" + i, total * 2));
    }
    List<String> gauges = new ArrayList<>(List.of("cpu_busy", "runnable", "mem_used", "sockets"));
    Collections.shuffle(gauges, random);
    gauges = gauges.subList(0, random.nextInt(5));
    Settings settings =
        new Settings(
            seed,
            500 + random.nextInt(4500),
            List.copyOf(classes),
            List.copyOf(tenants),
            servers,
            3,
            random.nextInt(4) == 0,
            0.05,
            0,
            new ObjectiveWeights(0.6, 0.2, 0.2, 0),
            new ServerLimits(
                100_000, 2 * SECOND, 6 + random.nextInt(6), 1_500_000, 0.25, 15 * SECOND),
            new Dependency(
                calls && random.nextInt(3) == 0 ? 2 * callWork / servers : 0, 5 * SECOND, 200_000),
            new Machine(
                cores,
                kb * runFactor * cores * (9 + 10 * random.nextDouble()),
                runFactor,
                100,
                false,
                List.copyOf(gauges),
                StopMode.values()[random.nextInt(3)]),
            new Signals(
                FreeValue.values()[random.nextInt(4)],
                SECOND,
                random.nextBoolean(),
                SECOND,
                false,
                random.nextBoolean() ? 8 * SECOND : 0));
    double longest = classes.stream().mapToLong(RequestClass::deadline).max().orElse(0) / 1e6;
    return new Deployment(
        seed,
        settings,
        List.copyOf(kinds),
        rates,
        speeds,
        kb,
        (int) Math.ceil(Math.max(1, callWork * 1.6)),
        callMs,
        Tier.values()[random.nextInt(4)],
        load,
        Math.max(3 * longest, Math.min(90, REQUESTS / total)));
  }

  private static double log(Random random, double from, double to) {
    return from * Math.pow(to / from, random.nextDouble());
  }

  /** The work that its cores can do over the work asked for, where they can do less. */
  double most() {
    double asked = 0;
    for (int i = 0; i < rates.length; i++) {
      asked += rates[i] * kinds.get(i).meanMs() / 1000;
    }
    return Math.min(1, settings.machine().cores() * Arrays.stream(speeds).sum() / asked);
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%d: %d classes%s, %d tenants, %d cores x %d servers, load %.2f, tier %s, %s, %s",
        seed,
        kinds.size(),
        kinds.stream().anyMatch(one -> one.calls() > 0) ? " with calls" : "",
        settings.tenants().size(),
        settings.machine().cores(),
        speeds.length,
        load,
        tier.name().toLowerCase(Locale.ROOT),
        settings.machine().stopMode(),
        settings.weightByWork() ? "worth by work" : "worth by request");
  }
}
