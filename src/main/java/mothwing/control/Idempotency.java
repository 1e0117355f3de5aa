package mothwing.control;

/** Specifies whether a request of a class may be run more than once. */
public enum Idempotency {
  /** The request may run any number of times. */
  ALWAYS,
  /** The request runs once within the window of its idempotency key, however often it arrives. */
  WITH_KEY,
  /** The request runs once; a repeat cannot be recognized. */
  NEVER
}
