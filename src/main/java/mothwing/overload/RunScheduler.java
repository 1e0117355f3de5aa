package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.overload.TrackedRequest.State;

/**
 * Starts and resumes runs in priority order, within the concurrency limit, the concurrency ceiling
 * and the memory.
 */
final class RunScheduler {
  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final MemoryBudget memory;
  private final ProcessorSharingClock clock;
  private final PriorityOrder order;
  private final ConcurrencyCeiling ceiling;
  private final DependencyCallLimiter callLimiter;
  private final ConcurrencyLimit limit;

  RunScheduler(
      ControllerState state,
      PriorityOrder order,
      ConcurrencyCeiling ceiling,
      DependencyCallLimiter callLimiter) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    memory = state.memory();
    clock = state.clock();
    this.order = order;
    this.ceiling = ceiling;
    this.callLimiter = callLimiter;
    limit = new ConcurrencyLimit(context.cores());
  }

  /** Starts the waiting runs that may start now. */
  void startWaitingRuns() {
    List<TrackedRequest> waiting = new ArrayList<>();
    for (TrackedRequest request : requests.openRequests()) {
      if (!request.isAnswered() && (request.is(State.HELD) || request.is(State.PAUSED))) {
        order.update(request);
        waiting.add(request);
      }
    }
    waiting.sort(PriorityOrder.HIGHEST_FIRST);
    for (TrackedRequest request : waiting) {
      if (isAtLimit()) {
        return;
      }
      if (request.hasStarted() || hasMemory(request)) {
        start(request);
      }
    }
  }

  /**
   * Returns whether no run may start; half of the outstanding calls are expected to return a run to
   * the cores soon.
   */
  private boolean isAtLimit() {
    return clock.running() + callLimiter.outstanding() / 2 >= maxRunning();
  }

  private int maxRunning() {
    if (ceiling.isExceeded()) {
      return 0;
    }
    return Math.min(limit.limit(), (int) Math.max(1, ceiling.ceiling()));
  }

  private boolean hasMemory(TrackedRequest request) {
    return memory.usedKb() + memory.additionalRunKb(request) <= memory.plannedKb();
  }

  private void start(TrackedRequest request) {
    host.startRun(request.id());
    if (!request.hasStarted()) {
      request.markStarted();
      memory.reserve(memory.additionalRunKb(request));
    }
    clock.enter(request);
  }

  /**
   * Returns the number of runs that the concurrency limit allows in addition to the current ones.
   */
  int freeSlots() {
    return Math.max(0, limit.limit() - clock.running());
  }

  /** Updates the concurrency limit from a sample. */
  void updateLimit(LoadMonitor monitor, GaugeSample sample) {
    boolean hasMeasurement =
        sample.isKnown() || context.settings().machine().gaugeNames().isEmpty();
    if (hasMeasurement) {
      limit.updateFromSample(
          monitor.samplePeriods(),
          monitor.utilization(),
          isRequestHeldAtLimit(),
          (int) ceiling.ceiling(),
          context.cores(),
          monitor.isHistoryComplete());
      return;
    }
    boolean startsToShrink =
        limit.updateWithoutSample(
            monitor.samplePeriods(), sample.age(), context.samplePeriod(), context.cores());
    if (startsToShrink) {
      host.log(
          "running-limit shrinks from="
              + limit.limit()
              + " no_gauges_for_ms="
              + sample.age() / 1000);
    }
  }

  /** Returns whether a request is held while the concurrency limit is reached. */
  private boolean isRequestHeldAtLimit() {
    return clock.running() >= limit.limit()
        && requests.openRequests().stream()
            .anyMatch(request -> request.is(State.HELD) && !request.isAnswered());
  }
}
