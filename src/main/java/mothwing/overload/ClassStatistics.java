package mothwing.overload;

/** Averages the core time and the dependency calls of the successful runs of one class. */
final class ClassStatistics {
  /** Weight of a run in the averages; the averages over the first ten runs are plain means. */
  private static final double RUN_WEIGHT = 0.1;

  /** Number of latency objectives without a run after which the learned core time fades. */
  private static final int STALE_AFTER_OBJECTIVES = 2;

  private double coreTimeRatio;
  private double callsPerRun;
  private int runs;
  private long learnedAt;

  /**
   * Creates the statistics of a class without runs.
   *
   * @param coreTimeRatio core time per estimated core time, as measured for other classes
   * @param callsPerRun expected dependency calls of a run
   */
  ClassStatistics(double coreTimeRatio, double callsPerRun) {
    this.coreTimeRatio = coreTimeRatio;
    this.callsPerRun = callsPerRun;
  }

  /**
   * Updates the averages from a run that succeeded.
   *
   * @param observedRatio core time of the run per estimated core time
   * @param calls number of dependency calls of the run
   * @param now time of the controller's clock, in microseconds
   */
  void learn(double observedRatio, int calls, long now) {
    runs++;
    double weight = weightAfter(runs);
    coreTimeRatio += (observedRatio - coreTimeRatio) * weight;
    learnedAt = now;
    callsPerRun += (calls - callsPerRun) * weight;
  }

  /** Returns the weight of the last of the given number of runs in an average over them. */
  static double weightAfter(int runs) {
    return Math.max(RUN_WEIGHT, 1.0 / runs);
  }

  /**
   * Moves the core time of a class without recent runs towards the average of all classes. Without
   * this, a class whose requests are all rejected would never be measured again.
   */
  void fade(double overallCoreTimeRatio, double objectiveMicros, double spanMicros, long now) {
    if (runs > 0 && now - learnedAt > STALE_AFTER_OBJECTIVES * objectiveMicros) {
      coreTimeRatio +=
          (overallCoreTimeRatio - coreTimeRatio) * Math.min(1, spanMicros / objectiveMicros);
    }
  }

  /** Returns the core time per estimated core time at the usual speed of the machine. */
  double coreTimeRatio() {
    return coreTimeRatio;
  }

  double callsPerRun() {
    return callsPerRun;
  }

  int runs() {
    return runs;
  }
}
