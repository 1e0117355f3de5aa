package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.ControllerHost;
import mothwing.control.Idempotency;
import mothwing.control.RunOutcome;
import mothwing.overload.TrackedRequest.State;

/**
 * Starts dependency calls in priority order, retries those that may be repeated, and skips a call
 * that cannot succeed in time if an answer without it still earns part of the priority weight.
 */
final class DependencyCallScheduler {
  /** Maximum number of attempts of one call. */
  private static final int MAX_ATTEMPTS = 4;

  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final ProcessorSharingClock clock;
  private final CostEstimator costs;
  private final ConcurrencyCeiling ceiling;
  private final SharedLoad shared;
  private final DependencyCallLimiter callLimiter;
  private final FaultAdmission faults;
  private final RequestCompletion completion;

  DependencyCallScheduler(
      ControllerState state,
      ConcurrencyCeiling ceiling,
      DependencyCallLimiter callLimiter,
      FaultAdmission faults,
      RequestCompletion completion) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    clock = state.clock();
    costs = state.costs();
    this.ceiling = ceiling;
    shared = state.shared();
    this.callLimiter = callLimiter;
    this.faults = faults;
    this.completion = completion;
  }

  /** Handles a run that has reached a dependency call. */
  void handleAwaited(TrackedRequest request) {
    clock.leave(request);
    request.awaitCall(context.now());
    if (request.isAnswered()) {
      host.failRequest(request.id());
    }
  }

  /** Handles the end of a call in flight. */
  void handleEnded(TrackedRequest request, RunOutcome outcome) {
    callLimiter.recordEnd(request.callProgress().attemptStartedAt());
    faults.recordCall(outcome == RunOutcome.SUCCEEDED);
    if (outcome == RunOutcome.SUCCEEDED) {
      clock.enter(request);
      return;
    }
    boolean calleeMayStillWork = !outcome.provesNoEffect() && outcome != RunOutcome.FAILED;
    if (calleeMayStillWork) {
      callLimiter.countAsOutstanding();
    }
    request.retryCallAt(context.now() + backoff(request));
    boolean isLastAttempt = !mayRepeat(request, outcome) || attemptsExhausted(request);
    if (!isLastAttempt || request.isAnswered()) {
      return;
    }
    if (request.maySkipCall()) {
      request.callProgress().exhaust(MAX_ATTEMPTS);
    } else {
      completion.fail(request);
    }
  }

  /** Returns the wait before the next attempt, which doubles with each attempt. */
  private long backoff(TrackedRequest request) {
    return context.samplePeriod() << Math.min(request.callProgress().attempts(), 2 * MAX_ATTEMPTS);
  }

  private static boolean mayRepeat(TrackedRequest request, RunOutcome outcome) {
    return outcome.provesNoEffect() || request.requestClass().idempotency() == Idempotency.ALWAYS;
  }

  private static boolean attemptsExhausted(TrackedRequest request) {
    return request.callProgress().attempts() >= MAX_ATTEMPTS;
  }

  /** Starts or skips the waiting calls in priority order, as far as the limits allow. */
  void startWaitingCalls() {
    List<TrackedRequest> waiting = new ArrayList<>();
    for (TrackedRequest request : requests.openRequests()) {
      boolean awaitsCall = request.is(State.AWAITING_CALL) && !request.isAnswered();
      if (awaitsCall && context.now() >= request.callProgress().nextAttemptAt()) {
        waiting.add(request);
      }
    }
    waiting.sort(PriorityOrder.HIGHEST_FIRST);
    for (TrackedRequest request : waiting) {
      if (wouldReachCeiling()) {
        return;
      }
      if (request.maySkipCall() && cannotSucceedInTime(request)) {
        host.skipCall(request.id());
        clock.enter(request);
      } else if (callLimiter.mayStart()) {
        start(request);
      }
    }
  }

  /**
   * Returns whether the number of runs would reach the concurrency ceiling once all calls in flight
   * return to the cores.
   */
  private boolean wouldReachCeiling() {
    int running = clock.running() + shared.others().running();
    return running + callLimiter.inFlight() >= Math.max(1, ceiling.ceiling());
  }

  /** Returns whether a call has no attempts left, or would leave the run too little time. */
  private boolean cannotSucceedInTime(TrackedRequest request) {
    double endsAt =
        context.now()
            + callLimiter.averageCallDuration()
            + costs.remainingCoreTime(request)
            + context.dueMargin();
    return attemptsExhausted(request) || endsAt > request.valuableUntil();
  }

  private void start(TrackedRequest request) {
    long now = context.now();
    request.startCall(now);
    callLimiter.recordStart();
    long latestUsefulEnd =
        Math.min(request.dueAt() - 2 * context.dueMargin(), request.valuableUntil());
    long abandonAt = Math.min(latestUsefulEnd, now + callLimiter.maxCallDuration());
    host.startCall(request.id(), Math.max(now + context.settings().batchInterval(), abandonAt));
  }
}
