package mothwing.trial;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import mothwing.trial.Fault.Kind;

/**
 * The bounds within which faults are drawn from a seed.
 *
 * @param faults how many, at most; at least one
 * @param longest seconds that one lasts, at most
 * @param kinds of which
 */
record FaultBounds(int faults, double longest, Set<Kind> kinds) {
  /** The kinds that both stages play. */
  static final Set<Kind> BOTH = both();

  private static final double LEAST = 0.05;
  private static final double MOST_DELAY_MS = 400;
  private static final double LEAST_BYTES = 2000;

  FaultBounds {
    kinds = Set.copyOf(kinds);
  }

  private static Set<Kind> both() {
    Set<Kind> all = EnumSet.allOf(Kind.class);
    all.removeAll(Fault.PROCESSES_ONLY);
    all.remove(Kind.HEAL); // it takes back what a script has put in force
    return Set.copyOf(all);
  }

  /** Draws the faults of a trial by its seed: always the same. */
  List<Fault> draw(Trial trial) {
    Random random = new Random(trial.seed() * 31 + 17);
    List<Kind> able = kinds.stream().sorted().toList();
    List<Fault> all = new ArrayList<>();
    for (int left = 1 + random.nextInt(faults); left > 0; left--) {
      all.add(one(trial, random, able.get(random.nextInt(able.size()))));
    }
    return all;
  }

  private Fault one(Trial trial, Random random, Kind kind) {
    double at = Math.round(random.nextDouble() * trial.seconds() * 1000) / 1000.0;
    double seconds =
        kind.lasting
            ? Math.round((LEAST + random.nextDouble() * (longest - LEAST)) * 1000) / 1000.0
            : 0;
    double share = Math.round((LEAST + random.nextDouble() * (1 - LEAST)) * 100) / 100.0;
    double value =
        switch (kind) {
          case DELAY -> Math.rint(random.nextDouble() * MOST_DELAY_MS);
          case SLOW -> Math.rint(LEAST_BYTES * (1 + 10 * random.nextDouble()));
          case CROWD -> 1 + random.nextInt(7);
          case LOSE, REPEAT, FLIP, DIP, MUTE -> share;
          default -> 0;
        };
    String server = some(trial.servers(), random);
    if (!kind.link) {
      return new Fault(at, kind, List.of(server), List.of(), false, value, 0, seconds);
    }
    String other =
        switch (random.nextInt(4)) {
          case 0 -> Trial.pool(server);
          case 1 -> Trial.ANNOUNCE;
          default -> some(trial.gateways(), random);
        };
    boolean turned = random.nextBoolean();
    return new Fault(
        at,
        kind,
        List.of(turned ? other : server),
        List.of(turned ? server : other),
        random.nextBoolean(),
        value,
        kind == Kind.DELAY ? Math.rint(random.nextDouble() * MOST_DELAY_MS) : 0,
        seconds);
  }

  private static String some(List<String> names, Random random) {
    return names.get(random.nextInt(names.size()));
  }
}
