package mothwing.overload;

/**
 * How many requests may run at once: at least as many as there are cores, more while cores idle
 * though work waits, and never more on old news. Without gauges it does not grow, and the longer
 * they are missing the closer it comes to the cores.
 */
public final class ConcurrencyLimit {
  private static final double IDLE_CORES = 0.9; // busy share under which it may grow
  private static final int IGNORANCE =
      5; // samples without gauges that it outlives: one lost answer and a relink

  private int limit;
  private boolean ignorant; // whether it shrinks for want of gauges

  /**
   * Makes one.
   *
   * @param cores the number of cores
   */
  public ConcurrencyLimit(int cores) {
    limit = cores;
  }

  /**
   * The limit in force.
   *
   * @return a number of requests
   */
  public int limit() {
    return limit;
  }

  /**
   * Takes a sample: grows fast while cores idle and work waits, and falls back to the cores.
   *
   * @param steps samples that this one stands for
   * @param busy share of the cores that are busy
   * @param waiting whether a request waits to run that the limit keeps waiting
   * @param ceiling what it must not grow over
   * @param cores the number of cores
   * @param mayFall whether it is time to fall by one
   */
  public void sampled(
      int steps, double busy, boolean waiting, int ceiling, int cores, boolean mayFall) {
    ignorant = false;
    if (waiting && busy < IDLE_CORES) {
      limit = Math.min(limit + steps, ceiling);
    } else if (busy > IDLE_CORES && limit > cores && mayFall) {
      limit--;
    }
    limit = Math.max(cores, limit);
  }

  /**
   * Takes the absence of a sample.
   *
   * @param steps samples that are missing
   * @param ignorance microseconds since gauges were known
   * @param sample microseconds between samples
   * @param cores the number of cores
   * @return whether it begins to shrink with this one
   */
  public boolean unsampled(int steps, long ignorance, long sample, int cores) {
    if (ignorance <= IGNORANCE * sample || limit <= cores) {
      return false;
    }
    boolean begins = !ignorant;
    ignorant = true;
    limit = Math.max(cores, limit - steps);
    return begins;
  }
}
