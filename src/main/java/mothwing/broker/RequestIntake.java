package mothwing.broker;

import java.util.function.BooleanSupplier;
import mothwing.control.Controller;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;

/**
 * Accepts requests that fronts have read. Requests that need no decision of the controller, such as
 * invalid ones, are answered at once; all others are reported to the controller.
 */
final class RequestIntake {
  /** Bounds the open requests; the controller never sees any beyond the bound. */
  static final int MAX_OPEN_REQUESTS = 4096;

  private static final long MICROS_PER_MILLI = 1000;

  /** The permitted lead of a gateway's wall clock over the clock of this machine. */
  private static final long MAX_CLOCK_LEAD_MILLIS = 1000;

  private final BrokerContext context;
  private final IdempotencyKeys keys;
  private final RequestAnswers answers;
  private final RequestStatistics statistics;
  private final DependencyCalls calls;
  private boolean ready;
  private BooleanSupplier overloadCheck = () -> false;

  RequestIntake(
      BrokerContext context,
      IdempotencyKeys keys,
      RequestAnswers answers,
      RequestStatistics statistics,
      DependencyCalls calls) {
    this.calls = calls;
    this.context = context;
    this.keys = keys;
    this.answers = answers;
    this.statistics = statistics;
  }

  /**
   * Starts accepting requests; called with the controller. Requests before this call are rejected.
   */
  void start() {
    ready = true;
  }

  void setOverloadCheck(BooleanSupplier isOverloaded) {
    overloadCheck = isOverloaded;
  }

  /**
   * Rejects a request without a decision of the controller if this process lags too far behind.
   *
   * @param path the path of the request
   * @return the retry advice in milliseconds, or {@link Broker#NOT_OVERLOADED}
   */
  long retryAfterIfOverloaded(String path) {
    if (!path.startsWith(InboundRequest.PATH_PREFIX) || !overloadCheck.getAsBoolean()) {
      return Broker.NOT_OVERLOADED;
    }
    String className = path.substring(InboundRequest.PATH_PREFIX.length());
    if (context.settings().findClass(className) == null) {
      return Broker.NOT_OVERLOADED;
    }
    context.counters().add(CounterNames.REQUESTS_READ);
    context.counters().add(CounterNames.REJECTED_PREFIX + RejectionReason.OVERLOADED.code());
    statistics.recordEnd(className, RequestStatistics.End.REJECTED);
    return retryAfterMillis();
  }

  /** Accepts a request, and answers it or queues it for the controller. */
  Exchange submit(InboundRequest request, ResponseSink caller) {
    context.counters().add(CounterNames.REQUESTS_READ);
    RequestClass requestClass = context.settings().findClass(request.className());
    Exchange exchange =
        requestClass == null
            ? exchangeOfUnknownClass(request, caller)
            : exchange(request, caller, requestClass);
    if (requestClass == null) {
      answers.fail(exchange, FailureReason.UNKNOWN_CLASS);
    } else if (!context.settings().isKnownTenant(request.tenant())) {
      answers.fail(exchange, FailureReason.UNKNOWN_TENANT);
    } else if (context.open().get(request.id()) != null) {
      answers.fail(exchange, FailureReason.REPEATED_TRACE_ID);
    } else if (!ready) {
      reject(exchange, RejectionReason.NOT_READY);
    } else if (context.open().size() >= MAX_OPEN_REQUESTS) {
      reject(exchange, RejectionReason.TABLE_FULL);
    } else if (!keys.hasRoom(exchange)) {
      reject(exchange, RejectionReason.KEYS_FULL);
    } else {
      context.open().add(exchange);
      context.events().enqueue((receiver, at) -> deliver(exchange, receiver, at));
    }
    return exchange;
  }

  /** Handles a request whose caller no longer waits for the answer. */
  void cancelled(Exchange exchange) {
    if (!exchange.cancel()) {
      return;
    }
    context.counters().add(CounterNames.CANCELLED);
    if (context.open().get(exchange.request().id()) == exchange) {
      calls.abandon(exchange);
      context.events().enqueue((receiver, at) -> reportCancelled(exchange, receiver, at));
    }
  }

  private void reportCancelled(Exchange exchange, Controller receiver, long at) {
    context.open().removeUnlessInPool(exchange);
    receiver.requestCancelled(at, exchange.request().id());
  }

  private Exchange exchangeOfUnknownClass(InboundRequest request, ResponseSink caller) {
    long now = context.scheduler().now();
    Exchange.Times times = new Exchange.Times(now, now, now);
    return new Exchange(request, caller, times, handling(request, false, 0));
  }

  private Exchange exchange(
      InboundRequest request, ResponseSink caller, RequestClass requestClass) {
    long now = context.scheduler().now();
    long arrivedAt = now - microsFromArrivalToReading(request, requestClass);
    long deadline = arrivedAt + waitMicros(request, requestClass);
    boolean idempotent = requestClass.idempotency() == Idempotency.ALWAYS;
    boolean keyed =
        requestClass.idempotency() == Idempotency.WITH_KEY && request.idempotencyKey() != null;
    return new Exchange(
        request,
        caller,
        new Exchange.Times(now, arrivedAt, deadline),
        handling(request, idempotent, keyed ? requestClass.idempotencyWindow() : 0));
  }

  private Exchange.Handling handling(InboundRequest request, boolean idempotent, long window) {
    int classIndex = context.settings().classIndex(request.className());
    int tenantIndex = context.settings().tenantIndex(request.tenant());
    return new Exchange.Handling(idempotent, classIndex, tenantIndex, window);
  }

  /**
   * The time from a request's arrival to its reading, in microseconds. Only here is wall-clock time
   * converted to a span of the monotonic clock. Because the wall clock may have been stepped since,
   * an arrival further in the future than the permitted lead, or longer ago than the deadline of
   * the class, is ignored; a smaller lead counts as 0.
   */
  private long microsFromArrivalToReading(InboundRequest request, RequestClass requestClass) {
    long millis = context.scheduler().wallClockMillis() - request.acceptedAtMs();
    boolean plausible =
        millis >= -MAX_CLOCK_LEAD_MILLIS && millis <= requestClass.deadline() / MICROS_PER_MILLI;
    if (!plausible) {
      context.counters().add(CounterNames.ARRIVAL_TIMES_IGNORED);
      return 0;
    }
    return Math.max(0, millis * MICROS_PER_MILLI);
  }

  /** The time that the caller waits after the arrival, at most the deadline of the class. */
  private static long waitMicros(InboundRequest request, RequestClass requestClass) {
    boolean shorter =
        request.maxWaitMs() != InboundRequest.NOT_STATED
            && request.maxWaitMs() < requestClass.deadline() / MICROS_PER_MILLI;
    return shorter ? request.maxWaitMs() * MICROS_PER_MILLI : requestClass.deadline();
  }

  private void reject(Exchange exchange, RejectionReason reason) {
    answers.reject(exchange, reason, false, retryAfterMillis());
  }

  private long retryAfterMillis() {
    return context.settings().maxRetryAfterMicros() / MICROS_PER_MILLI;
  }

  /**
   * Reports a request to the controller. The original of a repeat is looked up only here, because
   * requests read earlier in the same batch have been decided by now.
   */
  private void deliver(Exchange exchange, Controller receiver, long at) {
    IdempotencyKeys.Entry original = keys.findOriginal(exchange);
    if (original != null && !original.hasSameBody(exchange)) {
      answers.fail(exchange, FailureReason.KEY_OF_ANOTHER);
      context.open().removeUnlessInPool(exchange);
      return;
    }
    if (original != null) {
      context.counters().add(CounterNames.REPEATS);
    }
    exchange.reported();
    receiver.requestRead(at, report(exchange, original == null ? null : original.originalId(), at));
  }

  private static Request report(Exchange exchange, String originalId, long at) {
    InboundRequest request = exchange.request();
    boolean waitStated = request.maxWaitMs() != InboundRequest.NOT_STATED;
    return new Request(
        request.id(),
        exchange.classIndex(),
        exchange.tenantIndex(),
        0,
        at - exchange.arrivedAt(),
        request.cacheKey(),
        request.memoryKb(),
        originalId,
        request.rank(),
        waitStated ? exchange.deadline() : 0,
        !exchange.isIdempotent());
  }
}
