package mothwing.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The faults in force on each direction of each pair of machines. Pure; both stages look here. */
final class Links {
  /** What one direction does to what is sent on it. */
  record Way(
      boolean cut,
      boolean swallow,
      double delayMs,
      double spreadMs,
      double lose,
      double repeat,
      double slow,
      double flip) {
    static final Way CLEAR = new Way(false, false, 0, 0, 0, 0, 0, 0);

    Way with(Fault.Kind kind, double value, double more) {
      return switch (kind) {
        case CUT -> new Way(true, swallow, delayMs, spreadMs, lose, repeat, slow, flip);
        case SWALLOW -> new Way(cut, true, delayMs, spreadMs, lose, repeat, slow, flip);
        case DELAY -> new Way(cut, swallow, value, more, lose, repeat, slow, flip);
        case LOSE -> new Way(cut, swallow, delayMs, spreadMs, value, repeat, slow, flip);
        case REPEAT -> new Way(cut, swallow, delayMs, spreadMs, lose, value, slow, flip);
        case SLOW -> new Way(cut, swallow, delayMs, spreadMs, lose, repeat, value, flip);
        case FLIP -> new Way(cut, swallow, delayMs, spreadMs, lose, repeat, slow, value);
        default -> this;
      };
    }
  }

  private record Pair(String from, String to) {}

  private final Map<Pair, List<Fault>> inForce = new LinkedHashMap<>();
  private final Map<Pair, Way> ways = new LinkedHashMap<>();

  /** What goes from the one to the other. */
  Way way(String from, String to) {
    return ways.getOrDefault(new Pair(from, to), Way.CLEAR);
  }

  /** Puts a fault in force, or with a heal takes back all between its machines. */
  void apply(Fault fault) {
    for (Pair pair : pairs(fault)) {
      List<Fault> now = inForce.computeIfAbsent(pair, none -> new ArrayList<>());
      if (fault.kind() == Fault.Kind.HEAL) {
        now.clear();
      } else {
        now.add(fault);
      }
      settle(pair, now);
    }
  }

  /** Takes one fault back; others of its kind stay. */
  void revert(Fault fault) {
    for (Pair pair : pairs(fault)) {
      List<Fault> now = inForce.getOrDefault(pair, new ArrayList<>());
      now.removeIf(one -> one == fault);
      settle(pair, now);
    }
  }

  private void settle(Pair pair, List<Fault> now) {
    Way way = Way.CLEAR;
    for (Fault one : now) {
      way = way.with(one.kind(), one.value(), one.more());
    }
    if (way.equals(Way.CLEAR)) {
      ways.remove(pair);
    } else {
      ways.put(pair, way);
    }
  }

  /** Whether a fault touches what goes from the one to the other. */
  static boolean touches(Fault fault, String from, String to) {
    return (fault.from().contains(from) && fault.to().contains(to))
        || (!fault.oneWay() && fault.from().contains(to) && fault.to().contains(from));
  }

  private static List<Pair> pairs(Fault fault) {
    List<Pair> all = new ArrayList<>();
    for (String from : fault.from()) {
      for (String to : fault.to()) {
        all.add(new Pair(from, to));
        if (!fault.oneWay()) {
          all.add(new Pair(to, from));
        }
      }
    }
    return all;
  }
}
