package mothwing.overload;

/**
 * Counts recent faults of one kind, such as failed runs. Every success reduces the count by one, so
 * the budget is exhausted if more than half of the outcomes are faults. Elapsed time reduces the
 * count as well, which leaves a low rate of attempts that detect a recovery.
 */
final class FaultBudget {
  /**
   * Number of faults that may be counted before the budget is exhausted; at most one more is
   * counted, so that one success ends the exhaustion.
   */
  private static final double MAX_FAULTS = 4;

  /** Faults by which a success reduces the count; with 1, half of the outcomes may be faults. */
  private static final double RECOVERED_FAULTS_PER_SUCCESS = 1;

  /**
   * Faults subtracted per core and second, and thus the rate of attempts while all of them fail.
   */
  private static final double RECOVERED_FAULTS_PER_CORE_SECOND = 1;

  private double faults;

  /** Counts one outcome. */
  void record(boolean success) {
    faults =
        success
            ? Math.max(0, faults - RECOVERED_FAULTS_PER_SUCCESS)
            : Math.min(MAX_FAULTS, faults) + 1;
  }

  /**
   * Reduces the faults for the elapsed time.
   *
   * @param cores the number of cores, which determines how many attempts per second are affordable
   * @param seconds the elapsed time
   */
  void recover(int cores, double seconds) {
    faults = Math.max(0, faults - RECOVERED_FAULTS_PER_CORE_SECOND * cores * seconds);
  }

  /** Returns whether the budget is used up. */
  boolean isExhausted() {
    return faults > MAX_FAULTS;
  }

  /** Returns whether more than half of the budget is used. */
  boolean isHalfUsed() {
    return faults > MAX_FAULTS / 2;
  }
}
