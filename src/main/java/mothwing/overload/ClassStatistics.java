package mothwing.overload;

/** What was learned of the runs of one class of requests. */
final class ClassStatistics {
  /** Weight of one run in the averages: some ten runs count. The first runs count in full. */
  private static final double RUN_WEIGHT = 0.1;

  /** Latency objectives without a run after which the learned core time fades. */
  private static final int STALE_OBJECTIVES = 2;

  private double coreTimeRatio;
  private double callsPerRun;
  private int runs;
  private long learnedAt;

  /**
   * Makes the statistics of a class without runs.
   *
   * @param coreTimeRatio core time for a unit of estimated work, as other classes show it
   * @param callsPerRun expected dependency calls of a run
   */
  ClassStatistics(double coreTimeRatio, double callsPerRun) {
    this.coreTimeRatio = coreTimeRatio;
    this.callsPerRun = callsPerRun;
  }

  /** Takes the core time ratio and the calls of a run that succeeded. */
  void learn(double observedRatio, int calls, long now) {
    runs++;
    double weight = weightAfter(runs);
    coreTimeRatio += (observedRatio - coreTimeRatio) * weight;
    learnedAt = now;
    callsPerRun += (calls - callsPerRun) * weight;
  }

  /** The weight of the last of a number of runs in an average over them. */
  static double weightAfter(int runs) {
    return Math.max(RUN_WEIGHT, 1.0 / runs);
  }

  /**
   * Moves a core time without recent runs towards that of all classes: a class whose requests are
   * all rejected would never be measured again.
   */
  void fade(double ratioOfAll, double objectiveMicros, double spanMicros, long now) {
    if (runs > 0 && now - learnedAt > STALE_OBJECTIVES * objectiveMicros) {
      coreTimeRatio += (ratioOfAll - coreTimeRatio) * Math.min(1, spanMicros / objectiveMicros);
    }
  }

  /** Core time for a unit of estimated work at the usual speed of the machine. */
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
