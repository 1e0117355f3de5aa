package mothwing.overload;

/**
 * Estimates how much slower than usual the machine is: the ratio of the core time spent recently to
 * the usual core time of the completed work. The core time of runs in progress counts as spent, so
 * that a slowdown of the machine is detected within seconds. All core times are microseconds.
 */
final class SlowdownEstimator {
  /**
   * Seconds over which core time is averaged; the average call duration fades over the same time.
   */
  static final double AVERAGING_SECONDS = 3;

  /**
   * Core time per core that is assumed at the usual speed, to limit the effect of single unusual
   * runs.
   */
  private static final double PRIOR_SECONDS = 0.5;

  /** Ratio of current to usual core time up to which the difference is attributed to chance. */
  private static final double MIN_SLOWDOWN_RATIO = 2;

  /** Number of runs that must be exceeded before a slowdown is reported. */
  private static final int MIN_RUNS = 20;

  private double spentCoreTime;
  private double completedCoreTime;
  private double slowdown = 1;

  /** Adds the part of a run's core time that is not counted yet. */
  void countSpent(TrackedRequest request, double coreTimeUsed) {
    spentCoreTime += request.countCoreTime(coreTimeUsed);
  }

  /** Adds the usual core time of a run that succeeded. */
  void countCompleted(double usualCoreTime) {
    completedCoreTime += usualCoreTime;
  }

  /** Fades the counted core times. */
  void fade(double seconds) {
    double retainedRatio = Math.max(0, 1 - seconds / AVERAGING_SECONDS);
    spentCoreTime *= retainedRatio;
    completedCoreTime *= retainedRatio;
  }

  /**
   * Updates the slowdown from the counted core times.
   *
   * @param cores the number of cores
   * @param runs number of successful runs of all classes
   */
  void update(int cores, int runs) {
    double prior = PRIOR_SECONDS * ControllerContext.MICROS_PER_SECOND * cores;
    double ratio = (spentCoreTime + prior) / (completedCoreTime + prior);
    slowdown = ratio > MIN_SLOWDOWN_RATIO && runs > MIN_RUNS ? ratio : 1;
  }

  /** Returns the ratio of current to usual core time, 1 if the machine is not slow. */
  double slowdown() {
    return slowdown;
  }
}
