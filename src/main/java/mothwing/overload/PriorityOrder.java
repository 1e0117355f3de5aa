package mothwing.overload;

import java.util.Comparator;
import mothwing.control.Settings;

/**
 * Orders requests by priority, then by arrival. The priority of a request is its priority weight,
 * reduced if over quota or late, and divided by its expected core time if weights count by request.
 */
final class PriorityOrder {
  /** Orders by descending priority, then by arrival time. */
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
    request.setPriority(basePriority(request));
  }

  /**
   * Updates the priority of a waiting request, which is lower once it can no longer be expected to
   * meet its latency objective.
   */
  void update(TrackedRequest request) {
    boolean meetsObjective =
        context.now() + costs.expectedCoreTime(request) <= request.objectiveAt();
    double lateRatio = meetsObjective ? 1 : request.requestClass().lateWeightRatio();
    request.setPriority(basePriority(request) * lateRatio);
  }

  private double basePriority(TrackedRequest request) {
    Settings settings = context.settings();
    double quotaRatio = request.isOverQuota() ? settings.overQuotaWeightRatio() : 1;
    double weight = request.requestClass().priorityWeight() * quotaRatio;
    return settings.weightByWork() ? weight : weight / costs.expectedCoreTime(request);
  }
}
