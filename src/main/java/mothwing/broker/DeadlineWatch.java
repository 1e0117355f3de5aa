package mothwing.broker;

import java.util.ArrayList;
import java.util.List;

/**
 * Looks at all open requests in short intervals and enforces what is due: the limits of calls, the
 * deadlines of requests (the controller gets a batch just before, and what it leaves pending is
 * failed here), and the time limits of checks, keys and questions to the pool.
 */
final class DeadlineWatch {
  private static final long INTERVAL_MICROS = 20_000;

  /** The parts whose time limits are enforced. */
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

  /** Starts the watch, which then goes on until the process ends. */
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
      if (exchange.call().isInProgress() && now >= exchange.call().until()) {
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
    parts.replays().answerEnded();
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
