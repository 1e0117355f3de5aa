package mothwing.overload;

import mothwing.control.ControllerHost;
import mothwing.control.Settings;
import mothwing.control.StopMode;
import mothwing.overload.TrackedRequest.State;

/** Ends requests: rejects, fails and closes them, and stops what runs for nobody. */
final class RequestCompletion {
  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final MemoryBudget memory;
  private final IdempotencyKeyExpiry keys;
  private final ProcessorSharingClock clock;
  private final CostEstimator costs;
  private final DependencyCallLimiter calls;
  private final FaultAdmission faults;
  private final FilterLadder ladder;

  RequestCompletion(
      ControllerState state,
      IdempotencyKeyExpiry keys,
      DependencyCallLimiter calls,
      FaultAdmission faults,
      FilterLadder ladder) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    memory = state.memory();
    clock = state.clock();
    costs = state.costs();
    this.keys = keys;
    this.calls = calls;
    this.faults = faults;
    this.ladder = ladder;
  }

  /**
   * Rejects a request that never ran. The answer is final where other servers are no better off;
   * otherwise the caller tries another server and keeps away from this one for a while.
   */
  void reject(TrackedRequest request) {
    boolean onlyThisServer =
        context.isDraining() || faults.runsFail() || context.isWarmingUp() || isStuck();
    long longest = maxRetryAfter();
    long byFilter = longest * ladder.filter() / (2 * FilterLadder.INNER_FILTERS);
    host.rejectRequest(request.id(), !onlyThisServer, onlyThisServer ? longest : byFilter);
    requests.markRejected(request);
    if (keys.forget(request.id())) {
      host.forgetKey(request.id());
    }
    close(request);
  }

  private long maxRetryAfter() {
    Settings settings = context.settings();
    return settings.signals().retryAfterHonoured() ? settings.signals().maxRetryAfter() : 0;
  }

  /** Whether the cores are full of runs that all are far past their expected core time. */
  private boolean isStuck() {
    return clock.running() >= context.cores()
        && requests.all().stream()
            .allMatch(request -> !request.is(State.RUNNING) || costs.isStuck(request));
  }

  /** Answers a request with a failure and stops its run where that is possible. */
  void fail(TrackedRequest request) {
    host.failRequest(request.id());
    request.markAnswered();
    stop(request);
    if (request.is(State.CALLING)) {
      calls.abandoned();
      request.moveTo(State.AWAITING_CALL);
    } else if (!request.is(State.RUNNING) && !request.is(State.AWAITING_CALL)) {
      close(request);
    }
  }

  /** Ends a request for which nobody waits any longer, at once where no run has to end first. */
  void cancel(TrackedRequest request) {
    request.markAnswered();
    stop(request);
    if (request.is(State.HELD) || request.is(State.PAUSED) || request.is(State.REPLAYING)) {
      close(request);
    }
  }

  private void stop(TrackedRequest request) {
    if (request.is(State.RUNNING) && context.settings().machine().stopMode() != StopMode.NONE) {
      host.stopRun(request.id());
    }
  }

  /** Removes a request that holds nothing any longer. */
  void close(TrackedRequest request) {
    if (!requests.remove(request)) {
      return;
    }
    clock.leave(request);
    if (request.is(State.CALLING)) { // its run was cut off: the dependency does not know yet
      calls.abandoned();
    }
    double runKb = request.everRan() ? memory.additionalRunKb(request) : 0;
    memory.release(request.request().memoryKb() + runKb);
  }
}
