package mothwing.broker;

/** The names of the counters of the broker. */
final class CounterNames {
  /** Requests that were read completely. */
  static final String REQUESTS_READ = "read";

  /** Requests answered with the result of their run. */
  static final String COMPLETED = "completed";

  /** Prefix, followed by the code of a {@link RejectionReason}. */
  static final String REJECTED_PREFIX = "rejected-";

  /** Prefix, followed by the code of a {@link FailureReason}. */
  static final String FAILED_PREFIX = "failed-";

  /** Requests whose caller left before an answer. */
  static final String CANCELLED = "cancelled";

  /** Requests that the controller left pending beyond their deadline. */
  static final String OVERDUE = "overdue";

  /** Requests that repeat an earlier one with the same idempotency key. */
  static final String REPEATS = "repeats";

  /** Repeats that were answered after the end of their original. */
  static final String REPLAYED = "replayed";

  /** Requests whose stated arrival time was implausible. */
  static final String ARRIVAL_TIMES_IGNORED = "arrival-times-ignored";

  /** Runs that the controller started. */
  static final String RUNS_STARTED = "runs-started";

  /** Starts that were sent again after a reconnect to the pool. */
  static final String RUNS_RETRIED = "runs-retried";

  /** Stops of runs sent to the pool, not counting repetitions. */
  static final String RUNS_STOPPED = "runs-stopped";

  /** Prefix, followed by the outcome of a run. */
  static final String RUN_ENDED_PREFIX = "run-ended-";

  /** Reported ends of runs that were not in the pool. */
  static final String RUN_ENDED_UNEXPECTED = "run-ended-unexpected";

  /** Probes for whether the pool has a run. */
  static final String RUNS_PROBED = "runs-probed";

  /** Runs given up, because the pool shows no trace of them. */
  static final String LOST_RUNS = "lost-runs";

  /** Runs that began to await a dependency call. */
  static final String CALLS_AWAITED = "calls-awaited";

  /** Awaited dependency calls reported for runs that were not in the pool. */
  static final String CALLS_AWAITED_UNEXPECTED = "calls-awaited-unexpected";

  /** Runs that awaited a dependency call when the pool was reconnected. */
  static final String CALLS_AWAITED_AT_RECONNECT = "calls-awaited-at-reconnect";

  /** Dependency calls that were started. */
  static final String CALLS_STARTED = "calls";

  /** Runs resumed without the call that they awaited. */
  static final String CALLS_SKIPPED = "calls-skipped";

  /** Dependency calls that were abandoned before their end. */
  static final String CALL_ABANDONED = "call-abandoned";

  /** Reported ends of calls that were not in progress. */
  static final String CALL_ENDED_UNEXPECTED = "call-ended-unexpected";

  /** Prefix, followed by the outcome of a call. */
  static final String CALL_ENDED_PREFIX = "call-";

  /** Timers that fired without gauges, because the pool did not answer in time. */
  static final String GAUGES_LATE = "gauges-late";

  /** Health checks of both kinds. */
  static final String HEALTH_CHECKS = "checks";

  /** Events that the controller failed to handle. */
  static final String CONTROLLER_FAULTS = "controller-faults";

  private CounterNames() {}
}
