package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.ControllerHost;
import mothwing.control.Idempotency;
import mothwing.control.RunOutcome;
import mothwing.overload.TrackedRequest.State;

/**
 * Makes dependency calls in the order of priority, retries those that may be repeated, and leaves a
 * call out where the answer without it still earns something.
 */
final class DependencyCallScheduler {
  /** Attempts of one call. */
  private static final int MAX_ATTEMPTS = 4;

  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final ProcessorSharingClock clock;
  private final CostEstimator costs;
  private final ConcurrencyCeiling ceiling;
  private final DependencyCallLimiter limiter;
  private final FaultAdmission faults;
  private final RequestCompletion completion;

  DependencyCallScheduler(
      ControllerState state,
      ConcurrencyCeiling ceiling,
      DependencyCallLimiter limiter,
      FaultAdmission faults,
      RequestCompletion completion) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    clock = state.clock();
    costs = state.costs();
    this.ceiling = ceiling;
    this.limiter = limiter;
    this.faults = faults;
    this.completion = completion;
  }

  /** A run reaches a call. */
  void awaited(TrackedRequest request) {
    clock.leave(request);
    request.awaitCall(context.now());
    if (request.isAnswered()) {
      host.failRequest(request.id());
    }
  }

  /** A call in flight has ended. */
  void ended(TrackedRequest request, RunOutcome outcome) {
    limiter.ended(request.call().attemptStartedAt());
    faults.recordCall(outcome == RunOutcome.SUCCEEDED);
    if (outcome == RunOutcome.SUCCEEDED) {
      clock.enter(request);
      return;
    }
    boolean mayStillRun = !outcome.provesNoEffect() && outcome != RunOutcome.FAILED;
    if (mayStillRun) {
      limiter.lingers();
    }
    request.retryCallAt(context.now() + backoff(request));
    boolean isLastAttempt = !mayRepeat(request, outcome) || attemptsExhausted(request);
    if (!isLastAttempt || request.isAnswered()) {
      return;
    }
    if (request.mayLeaveCallOut()) {
      request.call().exhaust(MAX_ATTEMPTS);
    } else {
      completion.fail(request);
    }
  }

  /** The wait before the next attempt, which doubles with each. */
  private long backoff(TrackedRequest request) {
    return context.samplePeriod() << Math.min(request.call().attempts(), 2 * MAX_ATTEMPTS);
  }

  private static boolean mayRepeat(TrackedRequest request, RunOutcome outcome) {
    return outcome.provesNoEffect() || request.requestClass().idempotency() == Idempotency.ALWAYS;
  }

  private static boolean attemptsExhausted(TrackedRequest request) {
    return request.call().attempts() >= MAX_ATTEMPTS;
  }

  /** Makes the calls that may be made now. */
  void startWaiting() {
    List<TrackedRequest> waiting = new ArrayList<>();
    for (TrackedRequest request : requests.all()) {
      boolean awaitsCall = request.is(State.AWAITING_CALL) && !request.isAnswered();
      if (awaitsCall && context.now() >= request.call().nextAttemptAt()) {
        waiting.add(request);
      }
    }
    waiting.sort(PriorityOrder.HIGHEST_FIRST);
    for (TrackedRequest request : waiting) {
      if (wouldCrowdCores()) {
        return;
      }
      if (request.mayLeaveCallOut() && isHopeless(request)) {
        host.skipCall(request.id());
        clock.enter(request);
      } else if (limiter.mayStart()) {
        start(request);
      }
    }
  }

  /** Whether the runs that return from their calls would be more than the machine survives. */
  private boolean wouldCrowdCores() {
    return clock.running() + limiter.inFlight() >= Math.max(1, ceiling.ceiling());
  }

  /** Whether a call has failed for good, or would leave the run too little time. */
  private boolean isHopeless(TrackedRequest request) {
    double endsAt =
        context.now() + limiter.expectedCallTime() + costs.remaining(request) + context.dueMargin();
    return attemptsExhausted(request) || endsAt > request.valuableUntil();
  }

  private void start(TrackedRequest request) {
    long now = context.now();
    request.startCall(now);
    limiter.started();
    long lastUse = Math.min(request.dueAt() - 2 * context.dueMargin(), request.valuableUntil());
    long until = Math.min(lastUse, now + limiter.longestCall());
    host.startCall(request.id(), Math.max(now + context.settings().batchInterval(), until));
  }
}
