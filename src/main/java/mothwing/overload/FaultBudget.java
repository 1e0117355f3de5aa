package mothwing.overload;

/**
 * Counts recent faults of one kind, such as failed runs. Every success takes one fault off the
 * count, so the budget is used up where more than half of the outcomes are faults; time takes
 * faults off as well, which leaves a small rate of attempts that show a recovery.
 */
final class FaultBudget {
  /** Faults that may be counted before the budget is exhausted. */
  private static final double MAX_FAULTS = 4;

  /** Faults that a success takes off: half of the outcomes may be faults. */
  private static final double FAULTS_REPAID_BY_SUCCESS = 1;

  /** Faults that time takes off: as many attempts are made while all fail. */
  private static final double FAULTS_FORGOTTEN_PER_CORE_SECOND = 1;

  private double faults;

  /** Counts one outcome. */
  void record(boolean success) {
    faults =
        success ? Math.max(0, faults - FAULTS_REPAID_BY_SUCCESS) : Math.min(MAX_FAULTS, faults) + 1;
  }

  /**
   * Takes off what time repays.
   *
   * @param cores the number of cores, which sets how many attempts a second are affordable
   * @param seconds the time that has passed
   */
  void forget(int cores, double seconds) {
    faults = Math.max(0, faults - FAULTS_FORGOTTEN_PER_CORE_SECOND * cores * seconds);
  }

  /** Whether the budget is used up. */
  boolean isExhausted() {
    return faults > MAX_FAULTS;
  }

  /** Whether more than half of the budget is used. */
  boolean isHalfSpent() {
    return faults > MAX_FAULTS / 2;
  }
}
