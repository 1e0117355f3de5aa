package mothwing.overload;

/**
 * Measures the traffic of one class within, or over, its tenants' quotas, and limits it by a token
 * bucket. Work is core time in microseconds: expected for the offered work, estimated for the
 * recent work.
 */
final class TrafficBucket {
  /** Seconds of rate that a full bucket holds, similar to a typical latency objective. */
  static final double BUCKET_SECONDS = 1.5;

  /** Seconds over which the offered work is averaged. */
  private static final double OFFERED_SECONDS = 8;

  /** Seconds over which arrivals are averaged. */
  private static final double ARRIVING_SECONDS = 1;

  private final int classIndex;
  private final boolean overQuota;
  private double tokens;
  private double offeredExpectedWork;
  private double recentEstimatedWork;

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
   * @param estimated its estimated core time, not corrected by the statistics of the class
   */
  void offer(double expected, double estimated) {
    offeredExpectedWork += expected;
    recentEstimatedWork += estimated;
  }

  /** Returns the rate of the offered work, in cores. */
  double offeredRate() {
    return offeredExpectedWork / OFFERED_SECONDS / ControllerContext.MICROS_PER_SECOND;
  }

  /** Returns the estimated work that arrived recently. */
  double recentEstimatedWork() {
    return recentEstimatedWork;
  }

  /** Converts recently arrived work into a rate, in cores. */
  static double recentRate(double recentWork) {
    return recentWork / ARRIVING_SECONDS / ControllerContext.MICROS_PER_SECOND;
  }

  /**
   * Takes tokens for work if the bucket has any, and returns whether it had. A single request may
   * leave the bucket in debt.
   */
  boolean tryTake(double work) {
    if (tokens <= 0) {
      return false;
    }
    tokens -= work;
    return true;
  }

  /**
   * Refills the bucket at a rate in cores for the given number of seconds, and fades the averages.
   */
  void refill(double rateInCores, double seconds) {
    double rate = rateInCores * ControllerContext.MICROS_PER_SECOND;
    tokens = Math.min(rate * BUCKET_SECONDS, tokens + rate * seconds);
    offeredExpectedWork *= 1 - seconds / OFFERED_SECONDS;
    recentEstimatedWork *= Math.max(0, 1 - seconds / ARRIVING_SECONDS);
  }
}
