package mothwing.broker;

/** The codes that begin the log lines of the broker. */
final class EventNames {
  /** A request was rejected; logged with its id, class and reason. */
  static final String REJECTED = "rejected";

  /** A request failed; logged with its id, class and reason. */
  static final String FAILED = "failed";

  /** The start of a run was sent again; logged with its id, class and reason. */
  static final String RUN_RETRIED = "run-retried";

  /** Log lines about requests exceeded their rate; logged with the number suppressed. */
  static final String EVENTS_SUPPRESSED = "events-suppressed";

  /** The controller left a request pending beyond its deadline. */
  static final String OVERDUE = "overdue";

  /** The pool was connected for the first time, and requests are accepted. */
  static final String READY = "ready";

  /** A shutdown or a handover was requested. */
  static final String SHUTDOWN_REQUESTED = "shutdown-requested";

  /** Health checks fail from now on, so that gateways use other servers. */
  static final String OUT_OF_ROTATION = "out-of-rotation";

  /** Health checks succeed again. */
  static final String IN_ROTATION = "in-rotation";

  /** All notices missed because of a lost connection have been read. */
  static final String POOL_RESYNCHRONIZED = "pool-resynchronized";

  /** The pool is asked whether it has a run. */
  static final String RUN_IN_DOUBT = "run-in-doubt";

  /** A run was given up, because the pool shows no trace of it. */
  static final String LOST_RUN = "lost-run";

  /** A log line of the controller. */
  static final String CONTROLLER = "controller";

  /** The controller failed to handle an event. */
  static final String CONTROLLER_FAULT = "controller-fault";

  private EventNames() {}
}
