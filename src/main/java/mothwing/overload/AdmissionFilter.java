package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.overload.WeightedMaxMinAllocation.Demand;

/**
 * The filter in force: a token bucket for the traffic of each class within and over quota. The rate
 * of the ladder's filter is divided among them by weighted max-min allocation.
 */
final class AdmissionFilter {
  /** The two buckets of one class. */
  private record ClassBuckets(TrafficBucket withinQuota, TrafficBucket overQuota) {}

  private final ControllerContext context;
  private final CostEstimator costs;
  private final FilterLadder ladder;
  private List<ClassBuckets> classes = List.of();
  private List<TrafficBucket> buckets = List.of();

  AdmissionFilter(ControllerContext context, CostEstimator costs, FilterLadder ladder) {
    this.context = context;
    this.costs = costs;
    this.ladder = ladder;
  }

  /** Takes the classes of new settings; the buckets of a class stay with its name. */
  void apply(Settings before, Settings after) {
    List<ClassBuckets> next = new ArrayList<>();
    for (int i = 0; i < after.classes().size(); i++) {
      String name = after.classes().get(i).name();
      boolean known = i < classes.size() && name.equals(before.classes().get(i).name());
      next.add(
          known
              ? classes.get(i)
              : new ClassBuckets(new TrafficBucket(i, false), new TrafficBucket(i, true)));
    }
    classes = next;
    buckets = new ArrayList<>();
    for (ClassBuckets pair : classes) {
      buckets.add(pair.withinQuota());
      buckets.add(pair.overQuota());
    }
  }

  /** The buckets of all classes, in the order of the classes, each within quota before over it. */
  List<TrafficBucket> buckets() {
    return buckets;
  }

  /** Counts a request that was read as offered. */
  void offer(TrackedRequest request) {
    bucketOf(request).offer(costs.expected(request), request.estimatedWork());
  }

  /** Takes the tokens of a request; returns whether the filter in force admits it. */
  boolean admit(TrackedRequest request) {
    int filter = ladder.filter();
    if (filter == 0) {
      return true;
    }
    return filter <= FilterLadder.INNER_FILTERS && bucketOf(request).take(costs.expected(request));
  }

  /** Fills the buckets for some seconds. */
  void refill(double seconds) {
    List<Demand> demands = new ArrayList<>();
    for (TrafficBucket bucket : buckets) {
      demands.add(new Demand(bucket.offeredRate(), weight(bucket), !bucket.isOverQuota()));
    }
    double[] rates = WeightedMaxMinAllocation.allocate(ladder.rate(), demands);
    for (int i = 0; i < rates.length; i++) {
      buckets.get(i).advance(rates[i], seconds);
    }
  }

  /** The square of the priority weight for a unit of cost. */
  private double weight(TrafficBucket bucket) {
    Settings settings = context.settings();
    RequestClass requestClass = settings.classes().get(bucket.classIndex());
    double cost =
        settings.weightByWork()
            ? 1
            : costs.coreTimeRatio(bucket.classIndex()) * requestClass.latencyObjective();
    double quotaRatio = bucket.isOverQuota() ? settings.overQuotaWeightRatio() : 1;
    double value = requestClass.priorityWeight() / cost * quotaRatio;
    return value * value;
  }

  private TrafficBucket bucketOf(TrackedRequest request) {
    ClassBuckets pair = classes.get(request.classIndex());
    return request.isOverQuota() ? pair.overQuota() : pair.withinQuota();
  }
}
