package mothwing.broker;

import java.util.Locale;
import java.util.function.LongSupplier;
import mothwing.control.RunOutcome;

/**
 * Manages the dependency calls of runs: starts them at the controller's request, enforces their
 * timeouts, and resumes the run that awaits a call with its result or without.
 */
final class DependencyCalls {
  private static final long MICROS_PER_MILLI = 1000;

  /** The time that the dependency's own report of a timeout may take to arrive. */
  private static final long TIMEOUT_SLACK_MICROS = 20 * MICROS_PER_MILLI;

  private final OpenRequests open;
  private final WorkerPool pool;
  private final LongSupplier sentPolls;
  private final EventBatcher events;
  private final Scheduler scheduler;
  private final Counters counters;
  private DependencyClient client = DependencyClient.UNAVAILABLE;

  /**
   * Creates the calls without a client: until one is set, all calls fail as unreachable.
   *
   * @param open the open requests
   * @param pool the worker pool that has the runs
   * @param sentPolls the number of polls that were sent to the pool
   * @param events queues the events for the controller
   * @param scheduler the clock
   * @param counters the counters of calls
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

  /** Handles the pool's report that a run awaits a call. */
  void awaited(String id, byte[] content) {
    Exchange exchange = open.get(id);
    if (exchange == null || !exchange.isInPool()) {
      counters.add(CounterNames.CALLS_AWAITED_UNEXPECTED);
      return;
    }
    counters.add(CounterNames.CALLS_AWAITED);
    abandon(exchange);
    exchange.callAwaited(content);
    events.enqueue((receiver, at) -> receiver.callAwaited(at, id));
  }

  /**
   * Starts the call that a run awaits.
   *
   * @param limitAt the time that the dependency is given, in microseconds of the monotonic clock
   */
  void start(String id, long limitAt) {
    Exchange exchange = open.get(id);
    if (exchange == null
        || !exchange.isPending()
        || exchange.call().content() == null
        || exchange.call().isInProgress()) {
      return;
    }
    long limit = Math.max(MICROS_PER_MILLI, limitAt - scheduler.now());
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

  /** Handles the end of a call; the result is null unless the call succeeded. */
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
    events.enqueue((receiver, at) -> receiver.callEnded(at, id, outcome, 0));
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
