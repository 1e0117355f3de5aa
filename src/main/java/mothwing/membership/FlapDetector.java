package mothwing.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which members go and come back again and again. Each death costs a point, points halve in a
 * minute; from a number of points on a member counts as flapping, until few are left. One who is
 * killed and started again, or cut off once, never does. Times are microseconds of the monotonic
 * clock.
 */
final class FlapDetector {
  private static final double HALF_LIFE = 60e6;
  private static final double FROM = 2.5; // three deaths within some 20 s, or four within a minute
  private static final double UNTIL = 0.75;
  private static final double MOST = 6; // so that three half-lives without a death are enough
  private static final double NOTHING = 0.05;

  private final Map<String, Mark> marks = new TreeMap<>();

  private static final class Mark {
    double points;
    long at;
    boolean flaps;

    double now(long now) {
      return points * Math.pow(2, (at - now) / HALF_LIFE);
    }
  }

  /** A member died; says whether it counts as flapping from now on. */
  boolean died(String name, long now) {
    Mark mark = marks.computeIfAbsent(name, none -> new Mark());
    mark.points = Math.min(MOST, mark.now(now) + 1);
    mark.at = now;
    boolean begins = !mark.flaps && mark.points >= FROM;
    mark.flaps |= begins;
    return begins;
  }

  /** Those who do not count as flapping any longer; what is of no weight is forgotten. */
  List<String> steadied(long now) {
    List<String> all = new ArrayList<>();
    marks.forEach(
        (name, mark) -> {
          if (mark.flaps && mark.now(now) < UNTIL) {
            mark.flaps = false;
            all.add(name);
          }
        });
    marks.values().removeIf(mark -> mark.now(now) < NOTHING);
    return all;
  }

  /** Who flaps. */
  Set<String> all() {
    Set<String> all = new TreeSet<>();
    marks.forEach(
        (name, mark) -> {
          if (mark.flaps) {
            all.add(name);
          }
        });
    return all;
  }
}
