package mothwing.broker;

import java.util.Locale;
import java.util.function.LongSupplier;
import mothwing.control.RunOutcome;

/**
 * The dependency calls of runs: makes them as the controller asks, bounds their time, and resumes
 * the run that awaits one with its result or without.
 */
final class DependencyCalls {
  private static final long MICROS_PER_MILLI = 1000;

  /** Beyond a call's limit, as the dependency reports a timeout itself and the report travels. */
  private static final long TIMEOUT_SLACK_MICROS = 20 * MICROS_PER_MILLI;

  private final OpenRequests open;
  private final WorkerPool pool;
  private final LongSupplier sentPolls;
  private final EventBatcher events;
  private final Scheduler scheduler;
  private final Counters counters;
  private DependencyClient client = DependencyClient.UNAVAILABLE;

  /**
   * Makes one without a client: all calls fail as unreachable.
   *
   * @param open the open requests
   * @param pool holds the runs
   * @param sentPolls how many polls the pool has been sent
   * @param events for the controller
   * @param scheduler the clock
   * @param counters counts calls
   */
  DependencyCalls(
      OpenRequests open,
      WorkerPool pool,
      LongSupplier sentPolls,
      EventBatcher events,
      Scheduler scheduler,
      Counters counters) {
    this.open = open;
    this.pool = pool;
    this.sentPolls = sentPolls;
    this.events = events;
    this.scheduler = scheduler;
    this.counters = counters;
  }

  void setClient(DependencyClient dependency) {
    client = dependency;
  }

  /** A run awaits a call. */
  void awaited(String id, byte[] content) {
    Exchange exchange = open.get(id);
    if (exchange == null || !exchange.isInPool()) {
      counters.add(CounterNames.CALLS_AWAITED_UNEXPECTED);
      return;
    }
    counters.add(CounterNames.CALLS_AWAITED);
    abandon(exchange);
    exchange.callAwaited(content);
    events.enqueue((to, at) -> to.callAwaited(at, id));
  }

  /** Makes the call that a run awaits, until a time of the monotonic clock. */
  void start(String id, long until) {
    Exchange exchange = open.get(id);
    if (exchange == null
        || !exchange.isPending()
        || exchange.call().content() == null
        || exchange.call().isInProgress()) {
      return;
    }
    long limit = Math.max(MICROS_PER_MILLI, until - scheduler.now());
    exchange.call().start(scheduler.now() + limit + TIMEOUT_SLACK_MICROS);
    counters.add(CounterNames.CALLS_STARTED);
    if (!client.startCall(id, limit / MICROS_PER_MILLI, exchange.call().content())) {
      ended(id, RunOutcome.UNREACHABLE, null);
    }
  }

  /** Resumes a run without the call that it awaits. */
  void skip(String id) {
    Exchange exchange = open.get(id);
    if (exchange != null && exchange.call().content() != null && !exchange.call().isInProgress()) {
      counters.add(CounterNames.CALLS_SKIPPED);
      resume(exchange, null);
    }
  }

  /** A call is over; the result is there where it succeeded. */
  void ended(String id, RunOutcome outcome, byte[] result) {
    Exchange exchange = open.get(id);
    if (exchange == null || !exchange.call().end()) {
      counters.add(CounterNames.CALL_ENDED_UNEXPECTED);
      return;
    }
    counters.add(CounterNames.CALL_ENDED_PREFIX + outcome.name().toLowerCase(Locale.ROOT));
    if (outcome == RunOutcome.SUCCEEDED) {
      resume(exchange, result);
    }
    events.enqueue((to, at) -> to.callEnded(at, id, outcome, 0));
  }

  /** Ends a call that the client has not ended within its limit. */
  void timeOut(Exchange exchange) {
    String id = exchange.request().id();
    client.abandonCall(id);
    ended(id, RunOutcome.TIMED_OUT, null);
  }

  /** Abandons the call of a request, if there is one. */
  void abandon(Exchange exchange) {
    if (exchange.call().end()) {
      counters.add(CounterNames.CALL_ABANDONED);
      client.abandonCall(exchange.request().id());
    }
  }

  /**
   * Resumes a run that awaits a call, now or once the pool is connected again.
   *
   * @param exchange the request
   * @param result what the call returned, or null to resume without it
   */
  void resume(Exchange exchange, byte[] result) {
    boolean connected = pool.isReady();
    exchange.callAnswered(result, sentPolls.getAsLong(), connected);
    if (connected && result != null) {
      pool.resumeWithResult(exchange.request().id(), result);
    } else if (connected) {
      pool.resumeWithoutResult(exchange.request().id());
    }
  }
}
