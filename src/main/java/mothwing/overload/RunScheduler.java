package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.overload.TrackedRequest.State;

/** Starts and resumes runs in the order of priority, within the concurrency limit and memory. */
final class RunScheduler {
  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests;
  private final MemoryBudget memory;
  private final ProcessorSharingClock clock;
  private final PriorityOrder order;
  private final ConcurrencyCeiling ceiling;
  private final DependencyCallLimiter calls;
  private final ConcurrencyLimit limit;

  RunScheduler(
      ControllerState state,
      PriorityOrder order,
      ConcurrencyCeiling ceiling,
      DependencyCallLimiter calls) {
    context = state.context();
    host = state.host();
    requests = state.requests();
    memory = state.memory();
    clock = state.clock();
    this.order = order;
    this.ceiling = ceiling;
    this.calls = calls;
    limit = new ConcurrencyLimit(context.cores());
  }

  /** Starts what may run now. */
  void startWaiting() {
    List<TrackedRequest> waiting = new ArrayList<>();
    for (TrackedRequest request : requests.all()) {
      if (!request.isAnswered() && (request.is(State.HELD) || request.is(State.PAUSED))) {
        order.update(request);
        waiting.add(request);
      }
    }
    waiting.sort(PriorityOrder.HIGHEST_FIRST);
    for (TrackedRequest request : waiting) {
      if (isFull()) {
        return;
      }
      if (request.everRan() || hasMemory(request)) {
        start(request);
      }
    }
  }

  /** Whether no run may start; half of the runs at a call are taken to return to the cores soon. */
  private boolean isFull() {
    return clock.running() + calls.outstanding() / 2 >= maxRunning();
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
    if (!request.everRan()) {
      request.markRan();
      memory.reserve(memory.additionalRunKb(request));
    }
    clock.enter(request);
  }

  /** Runs that the concurrency limit allows beyond those that run. */
  int freeSlots() {
    return Math.max(0, limit.limit() - clock.running());
  }

  /** Adapts the concurrency limit to a sample that was taken. */
  void adaptLimit(LoadMonitor monitor, GaugeSample sample) {
    boolean measured = sample.isKnown() || context.settings().machine().gaugeNames().isEmpty();
    if (measured) {
      limit.sampled(
          monitor.samplePeriods(),
          monitor.utilization(),
          isRunWaiting(),
          (int) ceiling.ceiling(),
          context.cores(),
          monitor.isHistoryComplete());
      return;
    }
    boolean startsToShrink =
        limit.unsampled(
            monitor.samplePeriods(), sample.age(), context.samplePeriod(), context.cores());
    if (startsToShrink) {
      host.log(
          "running-limit shrinks from="
              + limit.limit()
              + " no_gauges_for_ms="
              + sample.age() / 1000);
    }
  }

  /** Whether the limit alone keeps a request from running. */
  private boolean isRunWaiting() {
    return clock.running() >= limit.limit()
        && requests.all().stream()
            .anyMatch(request -> request.is(State.HELD) && !request.isAnswered());
  }
}
