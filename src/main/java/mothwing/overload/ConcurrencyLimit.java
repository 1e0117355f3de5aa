package mothwing.overload;

/**
 * Limits how many requests run at once. The limit is at least the number of cores and grows while
 * cores are idle although requests wait. Without gauges it does not grow, and after a while it
 * shrinks to the number of cores.
 */
final class ConcurrencyLimit {
  /** Utilization of the cores below which the limit may grow, and above which it may fall. */
  private static final double MAX_GROWTH_UTILIZATION_RATIO = 0.9;

  /**
   * Sample periods without gauges after which the limit shrinks; long enough for a lost sample and
   * a reconnect.
   */
  private static final int MAX_PERIODS_WITHOUT_GAUGES = 5;

  private int limit;
  private boolean shrinking;

  /**
   * Creates a limit at its minimum.
   *
   * @param cores the number of cores
   */
  ConcurrencyLimit(int cores) {
    limit = cores;
  }

  /** Returns the number of requests that may run. */
  int limit() {
    return limit;
  }

  /**
   * Updates the limit from a sample: raises it quickly while cores are idle and requests wait,
   * lowers it by one towards the number of cores while cores are busy.
   *
   * @param periods number of sample periods that the sample covers
   * @param utilization share of the cores that is busy
   * @param waiting whether a request is held while the limit is reached
   * @param ceiling the highest limit, in requests
   * @param cores the number of cores
   * @param mayFall whether the limit may be lowered by one
   */
  void updateFromSample(
      int periods, double utilization, boolean waiting, int ceiling, int cores, boolean mayFall) {
    shrinking = false;
    if (waiting && utilization < MAX_GROWTH_UTILIZATION_RATIO) {
      limit = Math.min(limit + periods, ceiling);
    } else if (utilization > MAX_GROWTH_UTILIZATION_RATIO && limit > cores && mayFall) {
      limit--;
    }
    limit = Math.max(cores, limit);
  }

  /**
   * Shrinks the limit if gauges have been missing for too long.
   *
   * @param periods number of sample periods without gauges
   * @param gaugeAge microseconds since gauges were last known
   * @param samplePeriod microseconds between samples
   * @param cores the number of cores
   * @return whether the limit starts to shrink with this update
   */
  boolean updateWithoutSample(int periods, long gaugeAge, long samplePeriod, int cores) {
    if (gaugeAge <= MAX_PERIODS_WITHOUT_GAUGES * samplePeriod || limit <= cores) {
      return false;
    }
    boolean startsToShrink = !shrinking;
    shrinking = true;
    limit = Math.max(cores, limit - periods);
    return startsToShrink;
  }
}
