package mothwing.broker;

/**
 * Decides which of several processes at one address may run a request with an idempotency key:
 * during an upgrade both the old and the new process read attempts of the same request.
 */
@FunctionalInterface
public interface RunClaims {
  /** Grants every claim, for a process that does not share its address. */
  RunClaims UNSHARED = (key, span) -> Claim.GRANTED;

  /** The result of a claim. */
  enum Claim {
    /** This process holds the key: it may run the request. */
    GRANTED,
    /** Another process holds the key, and has run or is about to run the request. */
    HELD,
    /** The claim table is full: nothing ran, and nothing may be run. */
    FULL,
    /** The holder of the key cannot be determined. */
    UNKNOWN
  }

  /**
   * Claims a key for this process. The holder of a key may claim it again.
   *
   * @param key the idempotency key with its tenant and class
   * @param spanMicros microseconds from now in which no other process may run the request
   * @return the result of the claim
   */
  Claim claim(String key, long spanMicros);
}
