package mothwing.control;

/** Whether a request of a class may be run more than once. */
public enum Idempotency {
  /** It may run any number of times. */
  SAFE,
  /**
   * Its idempotency key makes sure that it runs once within its window, however often it arrives.
   */
  GUARDED,
  /** It runs once; a repeat cannot be recognized. */
  SINGLE_SHOT
}
