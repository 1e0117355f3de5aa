package mothwing.control;

/** How a run can be stopped. */
public enum StopMode {
  /** It cannot be stopped. */
  NONE,
  /** It is aborted, and what it did is lost. */
  ABORT,
  /** It is suspended and can be resumed. */
  SUSPEND
}
