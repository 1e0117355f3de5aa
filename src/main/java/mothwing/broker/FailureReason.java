package mothwing.broker;

/**
 * Why a request was answered with a failure: it may have taken effect, or could not be understood.
 * The codes are part of the answers and of the names of counters.
 */
enum FailureReason {
  /** The settings name no such class. */
  UNKNOWN_CLASS("unknown-class"),
  /** The settings name no such tenant. */
  UNKNOWN_TENANT("unknown-tenant"),
  /** A request with the same id is still open. */
  REPEATED_TRACE_ID("repeated-trace-id"),
  /** Its idempotency key belongs to a request with another body. */
  KEY_OF_ANOTHER("key-of-another"),
  /** The controller asked for the failure. */
  DECIDED("decided"),
  /** It must run at most once and has, or may have, run already. */
  RAN_BEFORE("ran-before"),
  /** Another process at the same address holds its idempotency key. */
  RAN_BESIDE("ran-beside"),
  /** It is unknown which process holds its idempotency key. */
  CLAIM_UNKNOWN("claim-unknown"),
  /** It repeats a request whose run failed. */
  REPLAYED_FAILURE("replayed-failure"),
  /** The pool did not start it, as its deadline had passed there. */
  STALE("stale"),
  /** Its run ended without a result. */
  CRASHED("crashed"),
  /** Its deadline passed without an answer of the controller. */
  OVERDUE("overdue"),
  /** The process ends while it is pending. */
  LEAVING("leaving");

  private final String code;

  FailureReason(String code) {
    this.code = code;
  }

  /** The code in answers, counters and the log. */
  String code() {
    return code;
  }
}
