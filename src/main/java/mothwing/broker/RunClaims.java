package mothwing.broker;

/**
 * Which process may run a guarded request, where several serve at one address: during an upgrade
 * both the old and the new one read tries of the same request.
 */
@FunctionalInterface
public interface RunClaims {
  /** A process that shares its clients with no other. */
  RunClaims UNSHARED = (key, span) -> Claim.GRANTED;

  /** What became of a claim. */
  enum Claim {
    /** This process holds the key: it may run the request. */
    GRANTED,
    /** Another process holds it, and has run the request or is about to. */
    HELD,
    /** There is no room to hold another key: nothing ran, and nothing may be run. */
    FULL,
    /** It cannot be told who holds it. */
    UNKNOWN
  }

  /**
   * Claims a key for this process. It may be claimed again by the same.
   *
   * @param key the idempotency key with all that it belongs to
   * @param span microseconds from now for which no other process may run the request
   * @return what became of it
   */
  Claim claim(String key, long span);
}
