package mothwing.overload;

/**
 * How many requests may run at once: at least one for each core, more while cores are idle though
 * work waits. Without gauges it does not grow, and after a while it shrinks to the cores.
 */
final class ConcurrencyLimit {
  /** Utilization of the cores below which the limit may grow. */
  private static final double IDLE_UTILIZATION_RATIO = 0.9;

  /** Sample periods without gauges after which it shrinks: a lost sample and a reconnect fit in. */
  private static final int MAX_PERIODS_WITHOUT_GAUGES = 5;

  private int limit;
  private boolean shrinking;

  /**
   * Makes one at its minimum.
   *
   * @param cores the number of cores
   */
  ConcurrencyLimit(int cores) {
    limit = cores;
  }

  /** The number of requests that may run. */
  int limit() {
    return limit;
  }

  /**
   * Takes a sample: grows fast while cores are idle and work waits, falls slowly back to the cores.
   *
   * @param periods sample periods that this sample stands for
   * @param utilization share of the cores that is busy
   * @param waiting whether the limit alone keeps a request from running
   * @param ceiling the highest limit, in requests
   * @param cores the number of cores
   * @param mayFall whether it is time to fall by one
   */
  void sampled(
      int periods, double utilization, boolean waiting, int ceiling, int cores, boolean mayFall) {
    shrinking = false;
    if (waiting && utilization < IDLE_UTILIZATION_RATIO) {
      limit = Math.min(limit + periods, ceiling);
    } else if (utilization > IDLE_UTILIZATION_RATIO && limit > cores && mayFall) {
      limit--;
    }
    limit = Math.max(cores, limit);
  }

  /**
   * Takes the absence of a sample.
   *
   * @param periods sample periods without one
   * @param gaugeAge microseconds since gauges were known
   * @param samplePeriod microseconds between samples
   * @param cores the number of cores
   * @return whether it starts to shrink now
   */
  boolean unsampled(int periods, long gaugeAge, long samplePeriod, int cores) {
    if (gaugeAge <= MAX_PERIODS_WITHOUT_GAUGES * samplePeriod || limit <= cores) {
      return false;
    }
    boolean starts = !shrinking;
    shrinking = true;
    limit = Math.max(cores, limit - periods);
    return starts;
  }
}
