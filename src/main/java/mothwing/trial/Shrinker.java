package mothwing.trial;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Makes a failing trial smaller while it still fails: fewer faults, fewer machines, shorter. Pure
 * but for the plays, whose number is bounded.
 */
final class Shrinker {
  private static final double LEAST_SECONDS = 0.5;
  private static final double ROUNDED = 100;

  /** Plays a trial and says whether it fails in the same way. */
  interface Fails {
    boolean test(Trial trial) throws IOException, InterruptedException;
  }

  private final Fails fails;
  private int plays;

  private Shrinker(Fails fails, int plays) {
    this.fails = fails;
    this.plays = plays;
  }

  /**
   * Shrinks a trial.
   *
   * @param trial one that fails
   * @param fails tells whether a smaller one does
   * @param plays most plays
   * @return the smallest that was found
   */
  static Trial shrink(Trial trial, Fails fails, int plays)
      throws IOException, InterruptedException {
    Shrinker one = new Shrinker(fails, plays);
    Trial now = trial;
    Trial before;
    do {
      before = now;
      now = one.shorter(one.machines(one.faults(now)));
    } while (now != before && one.plays > 0);
    return now;
  }

  private boolean still(Trial trial) throws IOException, InterruptedException {
    return plays-- > 0 && fails.test(trial);
  }

  /** Leaves out runs of faults, long ones first. */
  private Trial faults(Trial trial) throws IOException, InterruptedException {
    Trial now = trial;
    for (int size = Math.max(1, now.faults().size() / 2); size >= 1; size /= 2) {
      for (int from = 0; from < now.faults().size(); ) {
        List<Fault> fewer = new ArrayList<>(now.faults());
        fewer.subList(from, Math.min(fewer.size(), from + size)).clear();
        Trial next = now.withFaults(fewer);
        if (still(next)) {
          now = next;
        } else {
          from += size;
        }
      }
    }
    return now;
  }

  /** Leaves out the last servers and gateways, as long as no fault names them. */
  private Trial machines(Trial trial) throws IOException, InterruptedException {
    Trial now = trial;
    for (boolean again = true; again; ) {
      again = false;
      for (int[] less : new int[][] {{1, 0}, {0, 1}}) {
        int servers = now.fleet().servers() - less[0];
        int gateways = now.load().gateways() - less[1];
        if (servers < 1 || gateways < 1) {
          continue;
        }
        Trial next = now.withFleet(servers, gateways);
        if (next.faults().stream()
                .flatMap(one -> one.machines().stream())
                .allMatch(name -> next.machines().contains(Trial.machine(name)))
            && still(next)) {
          now = next;
          again = true;
        }
      }
    }
    return now;
  }

  private Trial shorter(Trial trial) throws IOException, InterruptedException {
    Trial now = trial;
    for (double share : new double[] {0.5, 0.75, 0.9}) {
      double seconds = Math.round(now.seconds() * share * ROUNDED) / ROUNDED;
      Trial next = now.withSeconds(seconds);
      if (seconds >= LEAST_SECONDS
          && next.faults().stream().allMatch(one -> one.at() <= seconds)
          && still(next)) {
        now = next;
      }
    }
    return now;
  }
}
