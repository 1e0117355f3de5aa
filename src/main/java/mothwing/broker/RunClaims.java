package mothwing.broker;

/**
 * Decides which process may run a request with an idempotency key when several processes serve one
 * address: during an upgrade both the old and the new one read attempts of the same request.
 */
@FunctionalInterface
public interface RunClaims {
  /** For a process that shares its address with no other: every claim is granted. */
  RunClaims UNSHARED = (key, span) -> Claim.GRANTED;

  /** The result of a claim. */
  enum Claim {
    /** This process holds the key: it may run the request. */
    GRANTED,
    /** Another process holds the key, and has run the request or is about to. */
    HELD,
    /** The table of keys is full: nothing ran, and nothing may be run. */
    FULL,
    /** The holder of the key cannot be determined. */
    UNKNOWN
  }

  /**
   * Claims a key for this process, which may claim it again.
   *
   * @param key the idempotency key with its tenant and class
   * @param span microseconds from now for which no other process may run the request
   * @return the result of the claim
   */
  Claim claim(String key, long span);
}
