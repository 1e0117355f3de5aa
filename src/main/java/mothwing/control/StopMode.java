package mothwing.control;

/** Specifies how a run can be stopped. */
public enum StopMode {
  /** Runs cannot be stopped. */
  NONE,
  /** Runs are aborted, and their progress is lost. */
  ABORT,
  /** Runs are suspended and can be resumed. */
  SUSPEND
}
