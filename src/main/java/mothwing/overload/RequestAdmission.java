package mothwing.overload;

import mothwing.control.ControllerHost;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.overload.TrackedRequest.State;

/**
 * Admits or rejects each request when it is read. The checks, in this order: a repeat of an
 * original that is open, or may be remembered or cached, waits for its result; the due time must be
 * more than the due margin ahead; the request must not have arrived after a shutdown request;
 * memory must suffice; the current filter must admit it; runs and calls must not be failing; the
 * deadline must be reachable.
 */
final class RequestAdmission {
  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final MemoryBudget memory;
  private final IdempotencyKeyExpiry keys;
  private final TenantQuotas quotas;
  private final PriorityOrder order;
  private final CostEstimator costs;
  private final AdmissionFilter filter;
  private final FaultAdmission faults;
  private final DeadlineAdmission deadlines;
  private final RunScheduler runScheduler;
  private final RequestCompletion completion;
  private final BackpressureSignal backpressure;

  RequestAdmission(
      ControllerState state,
      IdempotencyKeyExpiry keys,
      TenantQuotas quotas,
      PriorityOrder order,
      AdmissionFilter filter,
      FaultAdmission faults,
      DeadlineAdmission deadlines,
      RunScheduler runScheduler,
      RequestCompletion completion,
      BackpressureSignal backpressure) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    memory = state.memory();
    costs = state.costs();
    this.keys = keys;
    this.quotas = quotas;
    this.order = order;
    this.filter = filter;
    this.faults = faults;
    this.deadlines = deadlines;
    this.runScheduler = runScheduler;
    this.completion = completion;
    this.backpressure = backpressure;
  }

  /** Tracks a request that was just read, and admits, replays or rejects it. */
  void read(Request request) {
    TrackedRequest tracked = track(request);
    requests.add(tracked);
    memory.reserve(request.memoryKb());
    filter.offer(tracked);
    backpressure.countRead(costs.expectedCoreTime(tracked));
    decide(tracked);
  }

  private TrackedRequest track(Request request) {
    RequestClass requestClass = context.settings().classes().get(request.classIndex());
    long arrivedAt = context.now() - request.queueingDelay();
    long dueAt =
        request.callerDeadline() > 0
            ? request.callerDeadline()
            : arrivedAt + requestClass.deadline();
    boolean overQuota = quotas.isOverQuota(request.tenantIndex());
    TrackedRequest tracked =
        new TrackedRequest(
            request, requestClass, arrivedAt, context.boundedDueAt(dueAt), overQuota);
    order.assign(tracked);
    return tracked;
  }

  private void decide(TrackedRequest request) {
    if (repeatsKnownRequest(request)) {
      replay(request);
      return;
    }
    boolean isTooLate = isAlmostDue(request) || context.isAfterShutdownRequest(request.arrivedAt());
    if (isTooLate || !hasMemory(request)) {
      completion.reject(request);
      return;
    }
    if (!filter.admit(request) || faults.shouldReject(request) || !deadlines.canMeet(request)) {
      backpressure.countRejected(costs.expectedCoreTime(request));
      completion.reject(request);
      return;
    }
    quotas.charge(request.request().tenantIndex());
    if (request.hasIdempotencyKey()) {
      rememberKey(request);
    }
  }

  private boolean isAlmostDue(TrackedRequest request) {
    return context.now() + context.dueMargin() >= request.dueAt();
  }

  /**
   * Returns whether a request must not run itself, as it repeats one that is open, or may be
   * remembered or cached.
   */
  private boolean repeatsKnownRequest(TrackedRequest request) {
    String originalId = request.request().originalId();
    if (originalId == null || requests.wasRejectedInBatch(originalId)) {
      return false;
    }
    return request.hasIdempotencyKey()
        || context.settings().cacheLifetime() > 0
        || requests.contains(originalId);
  }

  private void replay(TrackedRequest request) {
    // Repeats that wait for a result must not fill the memory.
    if (isAlmostDue(request) || memory.isExceeded()) {
      completion.fail(request);
    } else {
      request.moveTo(State.REPLAYING);
      host.replayResult(request.id());
    }
  }

  /**
   * Returns whether memory is left for the request's key and for a run of its size in every free
   * slot; the unplanned share is left for one batch of reads.
   */
  private boolean hasMemory(TrackedRequest request) {
    double keyKb = request.hasIdempotencyKey() ? memory.keyKb() : 0;
    double runsKb = runScheduler.freeSlots() * memory.additionalRunKb(request);
    return memory.hasRoom(keyKb, runsKb);
  }

  private void rememberKey(TrackedRequest request) {
    long samplePeriod = context.samplePeriod();
    long windowEnd = request.arrivedAt() + request.requestClass().idempotencyWindow();
    long expiresAt = Math.max(context.now() + samplePeriod, windowEnd + samplePeriod);
    host.rememberKey(request.id(), expiresAt - context.now());
    keys.remember(request.id(), expiresAt);
  }
}
