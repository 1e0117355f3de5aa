package mothwing.broker;

/**
 * The reason for answering a request with a failure: it may have taken effect, or was invalid. The
 * codes are part of answers, counter names and log lines.
 */
enum FailureReason {
  /** The settings have no class of this name. */
  UNKNOWN_CLASS("unknown-class"),
  /** The settings have no tenant of this name. */
  UNKNOWN_TENANT("unknown-tenant"),
  /** A request with the same id is still open. */
  REPEATED_TRACE_ID("repeated-trace-id"),
  /** Its idempotency key belongs to a request with another body. */
  KEY_OF_ANOTHER("key-of-another"),
  /** The controller decided that it fails. */
  DECIDED("decided"),
  /** It must run at most once, and it has or may have run already. */
  RAN_BEFORE("ran-before"),
  /** Another process at the same address holds its idempotency key. */
  RAN_BESIDE("ran-beside"),
  /** The process that holds its idempotency key cannot be determined. */
  CLAIM_UNKNOWN("claim-unknown"),
  /** It repeats a request whose run failed. */
  ORIGINAL_FAILED("replayed-failure"),
  /** The pool did not start it, because its deadline had passed when the pool came to start it. */
  STALE("stale"),
  /** Its run ended without a result. */
  CRASHED("crashed"),
  /** Its deadline passed without a decision of the controller. */
  OVERDUE("overdue"),
  /** The process ends while it is pending. */
  PROCESS_ENDING("leaving");

  private final String code;

  FailureReason(String code) {
    this.code = code;
  }

  /** The code in answers, counters and the log. */
  String code() {
    return code;
  }
}
