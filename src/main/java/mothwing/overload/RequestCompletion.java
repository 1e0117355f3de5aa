package mothwing.overload;

import mothwing.control.ControllerHost;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.StopMode;
import mothwing.overload.TrackedRequest.State;

/** Ends requests: rejects, fails and closes them, and stops runs whose result is not needed. */
final class RequestCompletion {
  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final MemoryBudget memory;
  private final IdempotencyKeyExpiry keys;
  private final ProcessorSharingClock clock;
  private final CostEstimator costs;
  private final DependencyCallLimiter callLimiter;
  private final FaultAdmission faults;
  private final FilterLadder ladder;

  RequestCompletion(
      ControllerState state,
      IdempotencyKeyExpiry keys,
      DependencyCallLimiter callLimiter,
      FaultAdmission faults,
      FilterLadder ladder) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    memory = state.memory();
    clock = state.clock();
    costs = state.costs();
    this.keys = keys;
    this.callLimiter = callLimiter;
    this.faults = faults;
    this.ladder = ladder;
  }

  /**
   * Rejects a request that never ran. The rejection is final if other servers are unlikely to do
   * better, and then advises a Retry-After duration that grows with the current filter. Otherwise
   * the caller may retry at another server, and is advised to avoid this one for the longest
   * Retry-After duration. No duration is advised if callers do not honour it.
   */
  void reject(TrackedRequest request) {
    boolean othersMayDoBetter =
        context.isDraining()
            || faults.areRunsFailing()
            || context.isWarmingUp()
            || areAllRunsStuck();
    long maxRetryAfter = maxRetryAfter();
    long retryAfterByFilter = maxRetryAfter * ladder.filter() / (2 * FilterLadder.INNER_FILTERS);
    host.rejectRequest(
        request.id(), !othersMayDoBetter, othersMayDoBetter ? maxRetryAfter : retryAfterByFilter);
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

  /** Returns whether all cores are busy with runs that are far beyond their usual core time. */
  private boolean areAllRunsStuck() {
    return clock.running() >= context.cores()
        && requests.openRequests().stream()
            .allMatch(request -> !request.is(State.RUNNING) || costs.isStuck(request));
  }

  /** Answers a request with a failure and stops its run if possible. */
  void fail(TrackedRequest request) {
    host.failRequest(request.id());
    request.markAnswered();
    stop(request);
    if (request.is(State.CALLING)) {
      callLimiter.recordAbandoned();
      request.moveTo(State.AWAITING_CALL);
    } else if (!request.is(State.RUNNING) && !request.is(State.AWAITING_CALL)) {
      close(request);
    }
  }

  /** Ends a request whose caller no longer waits; at once, unless its run has to end first. */
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

  /** Handles a run that was stopped and may be resumed or started again. */
  void handleStopped(TrackedRequest request) {
    clock.leave(request);
    boolean resumable = context.settings().machine().stopMode() == StopMode.SUSPEND;
    request.moveTo(resumable ? State.PAUSED : State.HELD);
  }

  /** Handles the end of a run or of a replay, and learns from a run. */
  void handleEnded(TrackedRequest request, RunOutcome outcome, long durationMicros) {
    boolean isReplay = request.is(State.REPLAYING);
    close(request);
    request.correctCoreTime(durationMicros, context.samplePeriod());
    if (!isReplay && outcome == RunOutcome.SUCCEEDED) {
      faults.recordRun(true);
      costs.learn(request);
    } else if (!isReplay && outcome == RunOutcome.FAILED) {
      faults.recordRun(false);
    }
  }

  /**
   * Removes a request and releases the core and the memory that it holds. Has no effect on a
   * request that was removed before.
   */
  void close(TrackedRequest request) {
    if (!requests.remove(request)) {
      return;
    }
    clock.leave(request);
    // A run that ends during its call abandons the call; the dependency may still work on it.
    if (request.is(State.CALLING)) {
      callLimiter.recordAbandoned();
    }
    double runKb = request.hasStarted() ? memory.additionalRunKb(request) : 0;
    memory.release(request.request().memoryKb() + runKb);
  }
}
