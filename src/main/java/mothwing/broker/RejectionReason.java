package mothwing.broker;

/**
 * The reason for rejecting a request of which nothing ran. The codes are part of counter names and
 * log lines; answers do not carry them.
 */
enum RejectionReason {
  /** The worker pool has not been connected yet. */
  NOT_READY("not-ready"),
  /** Too many requests are open. */
  TABLE_FULL("table-full"),
  /** The table of idempotency keys is full. */
  KEYS_FULL("keys-full"),
  /** The controller decided that it is rejected. */
  DECIDED("decided"),
  /** It was read after the grace period of the shutdown. */
  READ_AFTER_GRACE_PERIOD("drained"),
  /** It repeats a request that was never run. */
  ORIGINAL_NEVER_RAN("replayed-nothing"),
  /** The process lags so far behind that it cannot decide in time. */
  OVERLOADED("behind");

  private final String code;

  RejectionReason(String code) {
    this.code = code;
  }

  /** The code in counters and the log. */
  String code() {
    return code;
  }
}
