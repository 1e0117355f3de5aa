package mothwing.overload;

import java.util.Comparator;
import mothwing.control.Settings;

/**
 * Orders requests by the priority weight that they earn, for a unit of expected core time where the
 * weights count by request, then by arrival.
 */
final class PriorityOrder {
  /** The highest priority first, then the earliest arrival. */
  static final Comparator<TrackedRequest> HIGHEST_FIRST =
      Comparator.comparingDouble((TrackedRequest request) -> -request.priority())
          .thenComparingLong(TrackedRequest::arrivedAt);

  private final ControllerContext context;
  private final CostEstimator costs;

  PriorityOrder(ControllerContext context, CostEstimator costs) {
    this.context = context;
    this.costs = costs;
  }

  /** Sets the priority of a request that was just read. */
  void assign(TrackedRequest request) {
    request.setPriority(priorityInTime(request));
  }

  /** Sets the priority of a waiting request, which is lower once it misses its objective. */
  void update(TrackedRequest request) {
    boolean inTime = context.now() + costs.expected(request) <= request.objectiveAt();
    double lateness = inTime ? 1 : request.requestClass().lateWeightRatio();
    request.setPriority(priorityInTime(request) * lateness);
  }

  private double priorityInTime(TrackedRequest request) {
    Settings settings = context.settings();
    double quotaRatio = request.isOverQuota() ? settings.overQuotaWeightRatio() : 1;
    double value = request.requestClass().priorityWeight() * quotaRatio;
    return settings.weightByWork() ? value : value / costs.expected(request);
  }
}
