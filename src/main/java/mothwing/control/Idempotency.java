package mothwing.control;

/** Whether a request of a class may be run more than once. */
public enum Idempotency {
  /** It may run any number of times. */
  ALWAYS,
  /**
   * Its idempotency key makes sure that it runs once within its window, however often it arrives.
   */
  WITH_KEY,
  /** It runs once; a repeat cannot be recognized. */
  NEVER
}
