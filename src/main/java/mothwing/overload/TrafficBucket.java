package mothwing.overload;

/**
 * The traffic of one class within, or over, its tenants' quotas: how much is offered, and the token
 * bucket that the filter in force fills. Work is expected core time in microseconds.
 */
final class TrafficBucket {
  /** Seconds of rate that a full bucket holds: about one latency objective. */
  static final double BUCKET_SECONDS = 1.5;

  /** Seconds over which the offered work is averaged. */
  private static final double OFFERED_SECONDS = 8;

  /** Seconds over which arrivals are averaged: as long as work waits at most. */
  private static final double ARRIVING_SECONDS = 1;

  private final int classIndex;
  private final boolean overQuota;
  private double tokens;
  private double offeredWork;
  private double arrivingWork;

  TrafficBucket(int classIndex, boolean overQuota) {
    this.classIndex = classIndex;
    this.overQuota = overQuota;
  }

  int classIndex() {
    return classIndex;
  }

  boolean isOverQuota() {
    return overQuota;
  }

  /**
   * Counts a request that was read.
   *
   * @param expected its expected core time
   * @param estimated its estimated work, before it is corrected by what was learned
   */
  void offer(double expected, double estimated) {
    offeredWork += expected;
    arrivingWork += estimated;
  }

  /** Work offered, in cores. */
  double offeredRate() {
    return offeredWork / OFFERED_SECONDS / ControllerContext.SECOND_MICROS;
  }

  /** Estimated work that arrived of late. */
  double arrivingWork() {
    return arrivingWork;
  }

  /** Turns work that arrived of late into a rate of work, in cores. */
  static double arrivalRate(double arrivingWork) {
    return arrivingWork / ARRIVING_SECONDS / ControllerContext.SECOND_MICROS;
  }

  /** Takes tokens for work, into debt at most once; returns whether the bucket had any. */
  boolean take(double work) {
    if (tokens <= 0) {
      return false;
    }
    tokens -= work;
    return true;
  }

  /** Fills the bucket at a rate in cores for some seconds, and lets the averages fade. */
  void advance(double cores, double seconds) {
    double rate = cores * ControllerContext.SECOND_MICROS;
    tokens = Math.min(rate * BUCKET_SECONDS, tokens + rate * seconds);
    offeredWork *= 1 - seconds / OFFERED_SECONDS;
    arrivingWork *= Math.max(0, 1 - seconds / ARRIVING_SECONDS);
  }
}
