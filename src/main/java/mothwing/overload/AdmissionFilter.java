package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.overload.WeightedMaxMinAllocation.Demand;

/**
 * Admits or rejects requests by the current filter of the ladder. Each class has two token buckets,
 * one for traffic within and one for traffic over its tenants' quotas; the rate of the current
 * filter is divided among all buckets by weighted max-min allocation.
 */
final class AdmissionFilter {
  /** The token buckets of one class. */
  private record ClassBuckets(TrafficBucket withinQuota, TrafficBucket overQuota) {}

  private final ControllerContext context;
  private final CostEstimator costs;
  private final FilterLadder ladder;
  private List<ClassBuckets> bucketsByClass = List.of();
  private List<TrafficBucket> buckets = List.of();

  AdmissionFilter(ControllerContext context, CostEstimator costs, FilterLadder ladder) {
    this.context = context;
    this.costs = costs;
    this.ladder = ladder;
  }

  /**
   * Applies new settings. A class whose index and name are unchanged keeps its buckets; any other
   * class starts with empty ones.
   */
  void apply(Settings oldSettings, Settings newSettings) {
    List<ClassBuckets> newBuckets = new ArrayList<>();
    for (int i = 0; i < newSettings.classes().size(); i++) {
      String name = newSettings.classes().get(i).name();
      boolean unchanged =
          i < bucketsByClass.size() && name.equals(oldSettings.classes().get(i).name());
      newBuckets.add(
          unchanged
              ? bucketsByClass.get(i)
              : new ClassBuckets(new TrafficBucket(i, false), new TrafficBucket(i, true)));
    }
    bucketsByClass = newBuckets;
    buckets = new ArrayList<>();
    for (ClassBuckets classBuckets : bucketsByClass) {
      buckets.add(classBuckets.withinQuota());
      buckets.add(classBuckets.overQuota());
    }
  }

  /**
   * Returns the buckets of all classes in the order of the classes, the one within quota before the
   * one over quota.
   */
  List<TrafficBucket> buckets() {
    return buckets;
  }

  /** Adds a request that was read to the offered work of its bucket. */
  void offer(TrackedRequest request) {
    bucketOf(request).offer(costs.expectedCoreTime(request), request.estimatedCoreTime());
  }

  /**
   * Returns whether the current filter admits a request; an inner filter takes its expected core
   * time from its bucket.
   */
  boolean admit(TrackedRequest request) {
    int filter = ladder.filter();
    if (filter == 0) {
      return true;
    }
    return filter <= FilterLadder.INNER_FILTERS
        && bucketOf(request).tryTake(costs.expectedCoreTime(request));
  }

  /**
   * Divides the rate of the current filter among the buckets and refills them for the given number
   * of seconds.
   */
  void refill(double seconds) {
    List<Demand> demands = new ArrayList<>();
    for (TrafficBucket bucket : buckets) {
      demands.add(new Demand(bucket.offeredRate(), weight(bucket), !bucket.isOverQuota()));
    }
    double[] rates = WeightedMaxMinAllocation.allocate(ladder.rate(), demands);
    for (int i = 0; i < rates.length; i++) {
      buckets.get(i).refill(rates[i], seconds);
    }
  }

  /**
   * Returns the weight of a bucket in the allocation: the square of its priority weight, which is
   * reduced if over quota, and divided by the core time of a typical request unless weights apply
   * by work.
   */
  private double weight(TrafficBucket bucket) {
    Settings settings = context.settings();
    RequestClass requestClass = settings.classes().get(bucket.classIndex());
    double cost =
        settings.weightByWork()
            ? 1
            : costs.coreTimeRatio(bucket.classIndex()) * requestClass.latencyObjective();
    double quotaRatio = bucket.isOverQuota() ? settings.overQuotaWeightRatio() : 1;
    double weightPerCost = requestClass.priorityWeight() / cost * quotaRatio;
    return weightPerCost * weightPerCost;
  }

  private TrafficBucket bucketOf(TrackedRequest request) {
    ClassBuckets classBuckets = bucketsByClass.get(request.classIndex());
    return request.isOverQuota() ? classBuckets.overQuota() : classBuckets.withinQuota();
  }
}
