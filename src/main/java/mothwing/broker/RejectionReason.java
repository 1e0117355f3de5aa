package mothwing.broker;

/**
 * Why a request was rejected: nothing of it ran. The codes are part of the names of counters and of
 * log lines; answers carry none.
 */
enum RejectionReason {
  /** The worker pool has not been connected yet. */
  NOT_READY("not-ready"),
  /** Too many requests are open. */
  TABLE_FULL("table-full"),
  /** There is no room for another idempotency key. */
  KEYS_FULL("keys-full"),
  /** The controller asked for the rejection. */
  DECIDED("decided"),
  /** It was read after the grace period of the shutdown. */
  DRAINED("drained"),
  /** It repeats a request of which nothing ran. */
  REPLAYED_NOTHING("replayed-nothing"),
  /** The process lags so far behind that it cannot decide in time. */
  BEHIND("behind");

  private final String code;

  RejectionReason(String code) {
    this.code = code;
  }

  /** The code in counters and the log. */
  String code() {
    return code;
  }
}
