package mothwing.control;

/** How a run, or a dependency call, ended. */
public enum RunOutcome {
  /** It succeeded. */
  SUCCEEDED(false),
  /** It failed and may have taken effect. */
  FAILED(false),
  /** The callee rejected it without any effect. */
  REJECTED(true),
  /** It was abandoned at its timeout and may have taken effect. */
  TIMED_OUT(false),
  /** The callee was not reached. */
  UNREACHABLE(true),
  /** The connection was lost, and it may have taken effect. */
  CONNECTION_LOST(false),
  /** The run was stopped, or ended at a dependency call after the request was answered. */
  STOPPED(false),
  /** Nothing was started. */
  NOT_STARTED(true);

  private final boolean provesNoEffect;

  RunOutcome(boolean provesNoEffect) {
    this.provesNoEffect = provesNoEffect;
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
