package mothwing.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What befalls a fleet that shares overrides, drawn from a seed: a list of steps, so that a failing
 * one can be made smaller by leaving steps out.
 */
final class OverrideSchedule {
  private static final long MILLI = 1000;
  private static final int SERVERS = 5;
  private static final long SETTLE_S =
      25; // after the last fault: past the time of recovery; some lifetimes are longer

  /** One step: what, with three numbers that say the rest. */
  record Step(Kind kind, int one, int two, long pauseMs) {}

  /** What may befall them. */
  enum Kind {
    /** An override is made. */
    MAKE,
    /** One is taken back. */
    REVOKE,
    /** A machine stands still, or goes on. */
    STILL,
    /** A machine loses power, or is back. */
    POWER,
    /** All lose power. */
    DARK,
    /** Some are cut off, or no longer. */
    CUT,
    /** The network loses and delays, or no longer. */
    TROUBLE,
    /** What the network kept arrives. */
    REPLAY
  }

  private OverrideSchedule() {}

  /** Draws one. */
  static List<Step> drawn(long seed) {
    Random random = new Random(seed * 31 + 7);
    List<Step> steps = new ArrayList<>();
    Kind[] kinds = {
      Kind.MAKE,
      Kind.MAKE,
      Kind.MAKE,
      Kind.REVOKE,
      Kind.STILL,
      Kind.STILL,
      Kind.POWER,
      Kind.POWER,
      Kind.POWER,
      Kind.DARK,
      Kind.CUT,
      Kind.TROUBLE,
      Kind.REPLAY
    };
    for (int i = 12 + random.nextInt(30); i > 0; i--) {
      steps.add(
          new Step(
              kinds[random.nextInt(kinds.length)],
              random.nextInt(SERVERS),
              random.nextInt(1000),
              random.nextInt(10) == 0 ? 3000 + random.nextInt(9000) : random.nextInt(1200)));
    }
    return steps;
  }

  /** Plays one. */
  static SimulatedOverrideNetwork play(
      List<Step> steps, long seed, SimulatedOverrideNetwork.Planted planted) {
    SimulatedOverrideNetwork net = new SimulatedOverrideNetwork(SERVERS, seed, planted);
    List<String> names = List.copyOf(net.nodes.keySet());
    boolean trouble = false;
    boolean parted = false;
    net.pass(10_000 * MILLI); // those of a first start are past their recovery
    for (Step step : steps) {
      String name = names.get(step.one());
      SimulatedOverrideNetwork.Node node = net.nodes.get(name);
      switch (step.kind()) {
        case MAKE ->
            net.make(
                name,
                "o" + step.two() % 4,
                step.two() % 3 == 0 ? 45 + step.two() % 30 : 1 + step.two() % 10,
                step.two() % 2 == 0);
        case REVOKE -> net.revoke(name, "o" + step.two() % 4);
        case STILL -> net.still(name, node.running() && !node.standsStill());
        case POWER -> net.power(name, !node.running());
        case DARK -> names.forEach(one -> net.power(one, false));
        case CUT -> {
          parted = !parted;
          net.cut(parted ? names.subList(0, 1 + step.two() % (SERVERS - 1)) : List.of());
        }
        case TROUBLE -> {
          trouble = !trouble;
          net.loss(trouble ? 0.3 : 0, trouble ? 2_000 * MILLI : 0);
        }
        default -> net.replay();
      }
      net.pass(step.pauseMs() * MILLI);
    }
    net.loss(0, 0);
    net.cut(List.of());
    for (String one : names) {
      net.still(one, false);
      net.power(one, true);
    }
    net.pass(4_000 * MILLI);
    net.replay();
    net.pass(SETTLE_S / 2 * 1_000 * MILLI);
    net.agree();
    net.replay();
    net.pass(SETTLE_S * 1_000 * MILLI);
    net.agree();
    return net;
  }

  /** Leaves steps out for as long as what is left still fails. */
  static List<Step> shrunk(
      List<Step> failing, long seed, SimulatedOverrideNetwork.Planted planted) {
    List<Step> steps = new ArrayList<>(failing);
    for (int size = Math.max(1, steps.size() / 2); size > 0; size /= 2) {
      for (int at = 0; at + size <= steps.size(); ) {
        List<Step> fewer = new ArrayList<>(steps);
        fewer.subList(at, at + size).clear();
        if (play(fewer, seed, planted).broken.isEmpty()) {
          at += size;
        } else {
          steps = fewer;
        }
      }
    }
    return steps;
  }
}
