package mothwing.broker;

/**
 * Enforces the limits on runs that hold regardless of the controller: at most one attempt per
 * idempotency key is run among all processes at this address, no id runs again, among them unless
 * its class may be repeated, and no request that was read after the grace period of a shutdown. A
 * request that may not run is answered here.
 */
final class RunAdmission {
  private static final long MICROS_PER_MILLI = 1000;

  private final BrokerContext context;
  private final IdempotencyKeys keys;
  private final ShutdownState shutdown;
  private final RequestAnswers answers;
  private final RecentRuns recentRuns = new RecentRuns();
  private RunClaims claims = RunClaims.UNSHARED;
  private RunClaims idClaims = RunClaims.UNSHARED;

  RunAdmission(
      BrokerContext context, IdempotencyKeys keys, ShutdownState shutdown, RequestAnswers answers) {
    this.context = context;
    this.keys = keys;
    this.shutdown = shutdown;
    this.answers = answers;
  }

  void setClaims(RunClaims sharedKeys, RunClaims sharedIds) {
    claims = sharedKeys;
    idClaims = sharedIds;
  }

  /** Returns whether a request may be run; otherwise it has been answered. */
  boolean admit(Exchange exchange) {
    if (keys.originalRan(exchange)) {
      // only the result of that run may answer it
      answers.fail(exchange, FailureReason.RAN_BEFORE);
      return false;
    }
    if (!shutdown.mayStillRun(exchange.readAt())) {
      long retryAfter = shutdown.allowedRetryAfter(context.settings().maxRetryAfterMicros());
      answers.reject(
          exchange, RejectionReason.READ_AFTER_GRACE_PERIOD, false, retryAfter / MICROS_PER_MILLI);
      return false;
    }
    if (!exchange.run().hasStarted() && hasRunBefore(exchange)) {
      return false;
    }
    boolean granted = !exchange.hasIdempotencyKey() || claim(exchange);
    if (granted) {
      recentRuns.add(exchange.request().id(), context.scheduler().now());
    }
    return granted;
  }

  /** Returns whether the id of a request has run before; then the request has been answered. */
  private boolean hasRunBefore(Exchange exchange) {
    String id = exchange.request().id();
    if (recentRuns.contains(id, context.scheduler().now())) {
      answers.fail(exchange, FailureReason.REPEATED_TRACE_ID);
      return true;
    }
    boolean ranBeside =
        !exchange.isIdempotent()
            && idClaims.claim(id, RecentRuns.WINDOW_MICROS) == RunClaims.Claim.HELD;
    if (ranBeside) {
      answers.fail(exchange, FailureReason.RAN_BESIDE);
    }
    return ranBeside;
  }

  private boolean claim(Exchange exchange) {
    long spanMicros =
        exchange.arrivedAt()
            + exchange.idempotencyWindow()
            + IdempotencyKeys.READ_DELAY_MICROS
            - context.scheduler().now();
    RunClaims.Claim claim = claims.claim(IdempotencyKey.of(exchange).claimText(), spanMicros);
    switch (claim) {
      case HELD -> answers.fail(exchange, FailureReason.RAN_BESIDE);
      case UNKNOWN -> answers.fail(exchange, FailureReason.CLAIM_UNKNOWN);
      case FULL -> {
        long retryAfter = context.settings().maxRetryAfterMicros();
        answers.reject(exchange, RejectionReason.KEYS_FULL, false, retryAfter / MICROS_PER_MILLI);
      }
      case GRANTED -> {}
    }
    return claim == RunClaims.Claim.GRANTED;
  }
}
