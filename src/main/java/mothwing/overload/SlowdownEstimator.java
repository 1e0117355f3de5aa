package mothwing.overload;

/**
 * Estimates how much slower than usual the machine is: the core time spent of late over the core
 * time that the completed work usually costs. Runs in progress count as spent core time, so that a
 * machine that slows down is seen within seconds. All core times are microseconds.
 */
final class SlowdownEstimator {
  /** Time over which core time is averaged; the learned call time fades over the same. */
  static final double AVERAGING_SECONDS = 3;

  /** Core time for each core that is assumed at the usual speed, against single odd runs. */
  private static final double PRIOR_SECONDS = 0.5;

  /** Ratio of present to usual core time below which a difference is taken for chance. */
  private static final double MIN_SLOWDOWN_RATIO = 2;

  /** Runs that the usual core time must rest on. */
  private static final int MIN_RUNS = 20;

  private double spent;
  private double completed;
  private double slowdown = 1;

  /** Counts the core time of a run that was not counted before. */
  void countSpent(TrackedRequest request, double used) {
    spent += request.countCoreTime(used);
  }

  /** Counts the usual core time of a run that succeeded. */
  void countCompleted(double usual) {
    completed += usual;
  }

  /** Lets what was counted fade. */
  void fade(double seconds) {
    double kept = Math.max(0, 1 - seconds / AVERAGING_SECONDS);
    spent *= kept;
    completed *= kept;
  }

  /**
   * Sets the slowdown from what is counted.
   *
   * @param cores the number of cores
   * @param runs successful runs of all classes
   */
  void update(int cores, int runs) {
    double prior = PRIOR_SECONDS * ControllerContext.SECOND_MICROS * cores;
    double ratio = (spent + prior) / (completed + prior);
    slowdown = ratio > MIN_SLOWDOWN_RATIO && runs > MIN_RUNS ? ratio : 1;
  }

  /** Present core time over usual core time, 1 where the machine is not slow. */
  double slowdown() {
    return slowdown;
  }
}
