package mothwing.broker;

import java.util.ArrayList;
import java.util.List;

/**
 * Scans the open requests periodically and enforces time limits: the timeouts of dependency calls,
 * the deadlines of requests (the controller gets a batch shortly before, and any request that it
 * leaves pending is failed here), and the time limits of health checks, idempotency keys and polls
 * of the pool.
 */
final class DeadlineWatch {
  private static final long INTERVAL_MICROS = 20_000;

  /** The parts of the broker whose time limits are enforced. */
  record Parts(
      DependencyCalls calls,
      RequestAnswers answers,
      RunReconciler reconciler,
      Replays replays,
      IdempotencyKeys keys,
      HealthChecks checks) {}

  private final BrokerContext context;
  private final Parts parts;

  DeadlineWatch(BrokerContext context, Parts parts) {
    this.context = context;
    this.parts = parts;
  }

  /** Starts the periodic scan, which continues until the process ends. */
  void start() {
    context
        .scheduler()
        .schedule(context.scheduler().now() + INTERVAL_MICROS, this::enforceDeadlines);
  }

  private void enforceDeadlines() {
    long now = context.scheduler().now();
    start();
    long answerSlack = context.settings().settings().limits().answerSlack() / 2;
    boolean almostDue = false;
    List<Exchange> timedOutCalls = new ArrayList<>();
    List<Exchange> overdue = new ArrayList<>();
    for (Exchange exchange : context.open().view()) {
      almostDue |= exchange.isPending() && now >= exchange.deadline() - INTERVAL_MICROS;
      if (exchange.call().isInProgress() && now >= exchange.call().timeoutAt()) {
        timedOutCalls.add(exchange);
      }
      if (exchange.isPending() && now >= exchange.deadline() + answerSlack) {
        overdue.add(exchange);
      }
    }
    timedOutCalls.forEach(parts.calls()::timeOut);
    overdue.forEach(this::failOverdue);
    parts.reconciler().watch(now);
    if (almostDue) {
      context.events().requestBatch();
    }
    parts.replays().answerRepeatsOfEndedOriginals();
    parts.keys().expire(now);
    parts.checks().expire(now);
  }

  private void failOverdue(Exchange exchange) {
    context.counters().add(CounterNames.OVERDUE);
    context.log().write(EventNames.OVERDUE + " id=" + exchange);
    parts.answers().fail(exchange, FailureReason.OVERDUE);
    context.open().removeUnlessInPool(exchange);
  }
}
