package mothwing.control;

/** What the server can do to work that runs. */
public enum StopMode {
  /** Nothing. */
  NONE,
  /** Stop it; what was done is lost. */
  ABORT,
  /** Stop it and take it up again later. */
  SUSPEND
}
