package mothwing.control;

/** How a run or a call ended. */
public enum RunOutcome {
  /** It succeeded. */
  GOOD(false),
  /** It failed and may have taken effect. */
  FAILED(false),
  /** The callee declined it unseen. */
  DECLINED(true),
  /** It was given up and may have taken effect. */
  TIMED_OUT(false),
  /** The callee was not reached. */
  UNREACHED(true),
  /** It was cut short and may have taken effect. */
  CUT(false),
  /** The run was stopped, or ended at a call after its answer. */
  STOPPED(false),
  /** Nothing was started. */
  MOOT(true);

  private final boolean neverRan;

  RunOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }

  /**
   * Whether the outcome proves that nothing took effect.
   *
   * @return true if so
   */
  public boolean neverRan() {
    return neverRan;
  }
}
