package mothwing.overload;

import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.overload.TrackedRequest.State;

/** Rejects requests whose deadline cannot be met behind the queued work of higher priority. */
final class DeadlineAdmission {
  /**
   * Time reserved for a run on busy cores, as a multiple of its expected core time; the work and
   * the sharing of cores vary.
   */
  private static final double BUSY_TIME_RATIO = 1.3;

  /** The same on idle cores, where an attempt does not slow down other requests. */
  private static final double IDLE_TIME_RATIO = 0.3;

  /** Priority ratio above which capacity is kept for requests that have not arrived yet. */
  private static final double RESERVED_PRIORITY_RATIO = 2;

  /** Number of cores that a request can count on, however many are reserved for others. */
  private static final double MIN_CORES = 0.5;

  private final ControllerContext context;
  private final RequestTable requests;
  private final CostEstimator costs;
  private final AdmissionFilter filter;
  private final FilterLadder ladder;
  private final LoadMonitor monitor;
  private final DependencyCallLimiter callLimiter;

  DeadlineAdmission(
      ControllerState state,
      AdmissionFilter filter,
      FilterLadder ladder,
      LoadMonitor monitor,
      DependencyCallLimiter callLimiter) {
    context = state.context();
    requests = state.requests();
    costs = state.costs();
    this.filter = filter;
    this.ladder = ladder;
    this.monitor = monitor;
    this.callLimiter = callLimiter;
  }

  /**
   * Returns whether a request can be answered in time behind the work in progress, and the work and
   * the dependency calls that precede it.
   */
  boolean canMeet(TrackedRequest request) {
    double spareMicros =
        latestUsefulAnswerAt(request)
            - context.now()
            - remainingCallTime(request)
            - runTime(request)
            - context.dueMargin();
    double cores = Math.max(MIN_CORES, context.cores() - reservedCores(request));
    double maxWork = spareMicros * cores / BUSY_TIME_RATIO;
    return !isPrecedingWorkAbove(request, maxWork)
        && spareMicros >= 0
        && canMakeCallsInTime(request, spareMicros);
  }

  /** Returns whether the core time of the work that precedes a request exceeds a bound. */
  private boolean isPrecedingWorkAbove(TrackedRequest request, double maxWork) {
    double expected = costs.expectedCoreTime(request);
    double work = 0;
    for (TrackedRequest open : requests.openRequests()) {
      if (open == request || open.isAnswered()) {
        continue;
      }
      if (precedesOrEquals(open, request) || !open.is(State.HELD)) {
        double remaining = costs.remainingCoreTime(open);
        // A run in progress shares the cores evenly with the request, so it delays the
        // request by no more than the request's own core time.
        work += open.is(State.RUNNING) ? Math.min(remaining, expected) : remaining;
        if (work > maxWork) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Returns whether the dependency calls that precede a request, and its own, leave it enough time.
   */
  private boolean canMakeCallsInTime(TrackedRequest request, double spareMicros) {
    if (!request.callsDependency() || request.maySkipCall()) {
      return true;
    }
    double callTime = -callLimiter.admissionCallTime();
    for (TrackedRequest open : requests.openRequests()) {
      if (precedesOrEquals(open, request) && !open.isAnswered()) {
        callTime += remainingCallTime(open);
      }
    }
    return callTime / callLimiter.steadyCalls() <= spareMicros;
  }

  /** Returns whether an open request comes before a request in priority order, or equals it. */
  private static boolean precedesOrEquals(TrackedRequest open, TrackedRequest request) {
    return open.priority() == request.priority()
        ? open.arrivedAt() <= request.arrivedAt()
        : open.priority() > request.priority();
  }

  /**
   * Returns the cores that requests of much higher priority will need if they keep arriving at
   * their recent rate.
   */
  private double reservedCores(TrackedRequest request) {
    double work = 0;
    for (TrafficBucket bucket : filter.buckets()) {
      double cost = costs.currentCoreTimeRatio(bucket.classIndex());
      boolean reserved =
          priority(bucket, cost, request) > RESERVED_PRIORITY_RATIO * request.priority();
      work += reserved ? bucket.recentEstimatedWork() * cost : 0;
    }
    // Regular traffic already keeps cores busy, so no more than the busy cores are reserved.
    return Math.min(TrafficBucket.recentRate(work), monitor.utilization() * context.cores());
  }

  /**
   * Returns the priority that the traffic of a bucket has for work of the same size as a request.
   */
  private double priority(TrafficBucket bucket, double cost, TrackedRequest request) {
    Settings settings = context.settings();
    List<RequestClass> classes = settings.classes();
    double quotaRatio = bucket.isOverQuota() ? settings.overQuotaWeightRatio() : 1;
    double weight = classes.get(bucket.classIndex()).priorityWeight() * quotaRatio;
    return settings.weightByWork() ? weight : weight / (request.estimatedCoreTime() * cost);
  }

  /** Returns the dependency call time that a request is still expected to take, in microseconds. */
  private double remainingCallTime(TrackedRequest request) {
    boolean atCall = request.is(State.AWAITING_CALL) || request.is(State.CALLING);
    int current = atCall ? 1 : 0;
    double remaining =
        costs.callsPerRun(request.classIndex()) - request.callProgress().reachedCalls() + current;
    return request.is(State.REPLAYING)
        ? 0
        : callLimiter.averageCallDuration() * Math.max(current, remaining);
  }

  /**
   * Returns the time that is reserved for a run, in microseconds; it grows with the utilization,
   * from IDLE_TIME_RATIO to BUSY_TIME_RATIO of its expected core time.
   */
  double runTime(TrackedRequest request) {
    double loadRatio =
        ladder.filter() > 0
            ? 1
            : Math.min(1, monitor.steadyUtilization() / LoadIndex.idleUtilization());
    double ratio = IDLE_TIME_RATIO + (BUSY_TIME_RATIO - IDLE_TIME_RATIO) * loadRatio;
    return costs.expectedCoreTime(request) * ratio;
  }

  /**
   * Returns the latest time of an answer for which a run is started. On busy cores this is the
   * latency objective at most, as a late answer delays other requests beyond their objective.
   */
  long latestUsefulAnswerAt(TrackedRequest request) {
    boolean idle =
        ladder.filter() == 0 && monitor.steadyUtilization() < LoadIndex.idleUtilization();
    return idle ? request.valuableUntil() : Math.min(request.objectiveAt(), request.dueAt());
  }
}
