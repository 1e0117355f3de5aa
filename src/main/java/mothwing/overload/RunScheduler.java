package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.control.ProcessLoad;
import mothwing.overload.TrackedRequest.State;

/**
 * Starts and resumes runs in priority order, within the concurrency limit, the concurrency ceiling
 * and the memory, all of which are those of the machine: other processes of this server count.
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
  private final SharedLoad shared;
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
    shared = state.shared();
    this.order = order;
    this.ceiling = ceiling;
    this.callLimiter = callLimiter;
    limit = new ConcurrencyLimit(context.cores());
  }

  /** Starts the waiting runs that may start now. */
  void startWaitingRuns() {
    publishLoad(0, 0);
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
      if (mayTakeMemory(request) && claim(request)) {
        start(request);
      }
    }
  }

  /** Publishes what this process takes, with a number of further runs and their memory. */
  private void publishLoad(int furtherRuns, double furtherKb) {
    shared.exchange(
        memory.usedKb() + furtherKb,
        clock.running() + furtherRuns,
        limit.limit(),
        callLimiter.outstanding());
  }

  /**
   * Publishes the run that is about to start. Returns false, and withdraws it, if another process
   * has taken the capacity meanwhile.
   */
  private boolean claim(TrackedRequest request) {
    publishLoad(1, request.hasStarted() ? 0 : memory.additionalRunKb(request));
    boolean granted = !isAtLimit() && mayTakeMemory(request);
    if (!granted) {
      publishLoad(0, 0);
    }
    return granted;
  }

  /**
   * Returns whether no run may start; half of the outstanding calls are expected to return a run to
   * the cores soon.
   */
  private boolean isAtLimit() {
    ProcessLoad others = shared.others();
    int own = clock.running() + callLimiter.outstanding() / 2;
    int othersRunning = others.running() + others.outstandingCalls() / 2;
    return !shared.isWithin(maxRunning(), own + 1, othersRunning)
        || shared.mustYield(own, othersRunning);
  }

  private int maxRunning() {
    if (ceiling.isExceeded()) {
      return 0;
    }
    return Math.min(currentLimit(), (int) Math.max(1, ceiling.ceiling()));
  }

  /** Returns the highest limit that a process has found for the machine. */
  private int currentLimit() {
    return Math.max(limit.limit(), shared.others().runningLimit());
  }

  private boolean mayTakeMemory(TrackedRequest request) {
    return request.hasStarted() || memory.hasRoom(0, memory.additionalRunKb(request));
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
    return Math.max(0, currentLimit() - clock.running() - shared.others().running());
  }

  /** Updates the concurrency limit from a sample. */
  void updateLimit(LoadMonitor monitor, GaugeSample sample) {
    shared.endSample();
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
    return clock.running() + shared.others().running() >= currentLimit()
        && requests.openRequests().stream()
            .anyMatch(request -> request.is(State.HELD) && !request.isAnswered());
  }
}
