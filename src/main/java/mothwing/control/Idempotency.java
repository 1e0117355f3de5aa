package mothwing.control;

/** Whether a class of requests may be run more than once. */
public enum Idempotency {
  /** May run any number of times. */
  SAFE,
  /** Runs once within its window, however often it arrives. */
  GUARDED,
  /** Runs once; a repeat cannot be recognised. */
  SINGLE_SHOT
}
