package mothwing.control;

/** How a run or a call ended. */
public enum RunOutcome {
  /** It succeeded. */
  SUCCEEDED(false),
  /** It failed and may have taken effect. */
  FAILED(false),
  /** The callee declined it unseen. */
  REJECTED(true),
  /** It was given up and may have taken effect. */
  TIMED_OUT(false),
  /** The callee was not reached. */
  UNREACHABLE(true),
  /** It was cut short and may have taken effect. */
  CONNECTION_LOST(false),
  /** The run was stopped, or ended at a call after its answer. */
  STOPPED(false),
  /** Nothing was started. */
  NOT_STARTED(true);

  private final boolean provesNoEffect;

  RunOutcome(boolean neverRan) {
    this.provesNoEffect = neverRan;
  }

  /**
   * Whether the outcome proves that nothing took effect.
   *
   * @return true if so
   */
  public boolean provesNoEffect() {
    return provesNoEffect;
  }
}
