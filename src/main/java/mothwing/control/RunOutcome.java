package mothwing.control;

/** The outcome of a run or of a dependency call. */
public enum RunOutcome {
  /** Success. */
  SUCCEEDED(false),
  /** Failure that may have taken effect. */
  FAILED(false),
  /** Rejection by the callee without any effect. */
  REJECTED(true),
  /** Abandoned at its timeout; may have taken effect. */
  TIMED_OUT(false),
  /** The callee was not reached. */
  UNREACHABLE(true),
  /** The connection was lost; may have taken effect. */
  CONNECTION_LOST(false),
  /** The run was stopped, or ended at a dependency call after its request was answered. */
  STOPPED(false),
  /** Nothing was started. */
  NOT_STARTED(true);

  private final boolean provesNoEffect;

  RunOutcome(boolean provesNoEffect) {
    this.provesNoEffect = provesNoEffect;
  }

  /** Returns whether the outcome proves that nothing took effect. */
  public boolean provesNoEffect() {
    return provesNoEffect;
  }
}
