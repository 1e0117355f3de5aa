package mothwing.overload;

import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.overload.TrackedRequest.State;

/** Rejects a request whose deadline cannot be met behind the queued work of higher priority. */
final class DeadlineAdmission {
  /** Ratio to its expected core time that a run may need: work and sharing vary. */
  private static final double BUSY_TIME_RATIO = 1.3;

  /** The same on idle cores, where an attempt takes nothing from other requests. */
  private static final double IDLE_TIME_RATIO = 0.3;

  /** Ratio of priority from which capacity is kept for requests that have not arrived. */
  private static final double RESERVED_PRIORITY_RATIO = 2;

  /** Cores that a request can count on, however many are reserved for others. */
  private static final double MIN_CORES = 0.5;

  private final ControllerContext context;
  private final RequestTable requests;
  private final CostEstimator costs;
  private final AdmissionFilter filter;
  private final FilterLadder ladder;
  private final LoadMonitor monitor;
  private final DependencyCallLimiter calls;

  DeadlineAdmission(
      ControllerState state,
      AdmissionFilter filter,
      FilterLadder ladder,
      LoadMonitor monitor,
      DependencyCallLimiter calls) {
    context = state.context();
    requests = state.requests();
    costs = state.costs();
    this.filter = filter;
    this.ladder = ladder;
    this.monitor = monitor;
    this.calls = calls;
  }

  /** Whether a request can be answered in time behind the work and the calls before it. */
  boolean canMeet(TrackedRequest request) {
    double spare =
        soughtUntil(request)
            - context.now()
            - remainingCallTime(request)
            - runTime(request)
            - context.dueMargin();
    double cores = Math.max(MIN_CORES, context.cores() - reservedCores(request));
    double maxWork = spare * cores / BUSY_TIME_RATIO;
    return !isWorkBeforeOver(request, maxWork) && spare >= 0 && areCallsInTime(request, spare);
  }

  /** Whether the core time of the work before a request is over a bound. */
  private boolean isWorkBeforeOver(TrackedRequest request, double maxWork) {
    double expected = costs.expected(request);
    double work = 0;
    for (TrackedRequest other : requests.all()) {
      if (other == request || other.isAnswered()) {
        continue;
      }
      if (precedes(other, request) || !other.is(State.HELD)) {
        double remaining = costs.remaining(other);
        // a run in progress shares the cores with the request: it takes no more than that does
        work += other.is(State.RUNNING) ? Math.min(remaining, expected) : remaining;
        if (work > maxWork) {
          return true;
        }
      }
    }
    return false;
  }

  /** Whether the dependency calls before those of a request leave it enough time. */
  private boolean areCallsInTime(TrackedRequest request, double spare) {
    if (!request.callsDependency() || request.mayLeaveCallOut()) {
      return true;
    }
    double callTime = -calls.admissionCallTime();
    for (TrackedRequest other : requests.all()) {
      if (precedes(other, request) && !other.isAnswered()) {
        callTime += remainingCallTime(other);
      }
    }
    return callTime / calls.steadyCalls() <= spare;
  }

  /**
   * Whether the other request is not later in the order of priority; true of the request itself.
   */
  private static boolean precedes(TrackedRequest other, TrackedRequest request) {
    return other.priority() == request.priority()
        ? other.arrivedAt() <= request.arrivedAt()
        : other.priority() > request.priority();
  }

  /** Cores that requests of much higher priority will take if they keep arriving as of late. */
  private double reservedCores(TrackedRequest request) {
    double work = 0;
    for (TrafficBucket bucket : filter.buckets()) {
      double cost = costs.presentCoreTimeRatio(bucket.classIndex());
      boolean reserved =
          priority(bucket, cost, request) > RESERVED_PRIORITY_RATIO * request.priority();
      work += reserved ? bucket.arrivingWork() * cost : 0;
    }
    // regular arrivals show in the utilization of the cores
    return Math.min(TrafficBucket.arrivalRate(work), monitor.utilization() * context.cores());
  }

  /** The priority that the traffic of a bucket has for work like that of a request. */
  private double priority(TrafficBucket bucket, double cost, TrackedRequest request) {
    Settings settings = context.settings();
    List<RequestClass> classes = settings.classes();
    double quotaRatio = bucket.isOverQuota() ? settings.overQuotaWeightRatio() : 1;
    double value = classes.get(bucket.classIndex()).priorityWeight() * quotaRatio;
    return settings.weightByWork() ? value : value / (request.estimatedWork() * cost);
  }

  /** Dependency call time that a request is still expected to take, in microseconds. */
  private double remainingCallTime(TrackedRequest request) {
    boolean atCall = request.is(State.AWAITING_CALL) || request.is(State.CALLING);
    int current = atCall ? 1 : 0;
    double remaining = costs.callsPerRun(request.classIndex()) - request.call().reached() + current;
    return request.is(State.REPLAYING)
        ? 0
        : calls.expectedCallTime() * Math.max(current, remaining);
  }

  /** Time that is reserved for a run, in microseconds: little of it where cores are idle. */
  double runTime(TrackedRequest request) {
    double load =
        ladder.filter() > 0 ? 1 : Math.min(1, monitor.steadyUtilization() / LoadIndex.idleCores());
    double ratio = IDLE_TIME_RATIO + (BUSY_TIME_RATIO - IDLE_TIME_RATIO) * load;
    return costs.expected(request) * ratio;
  }

  /**
   * Until when an answer is sought: on busy cores a late one delays others beyond their objective.
   */
  long soughtUntil(TrackedRequest request) {
    boolean idle = ladder.filter() == 0 && monitor.steadyUtilization() < LoadIndex.idleCores();
    return idle ? request.valuableUntil() : Math.min(request.objectiveAt(), request.dueAt());
  }
}
