package mothwing.overload;

import java.util.List;

/**
 * Weighted max-min allocation of a rate. Each demand that has a minimum gets it first, as far as it
 * wants it; the remainder is shared by weight, up to the wanted rate of each demand; a surplus is
 * divided evenly.
 */
final class WeightedMaxMinAllocation {
  /** Share of the rate that is divided into minimums before the weights apply. */
  private static final double MINIMUM_RATIO = 0.1;

  /**
   * A demand for a part of the rate.
   *
   * @param wantedRate the rate that it could use
   * @param weight its weight relative to the other demands
   * @param hasMinimum whether it gets a minimum; if half of the demands do, the minimums add up to
   *     MINIMUM_RATIO of the rate
   */
  record Demand(double wantedRate, double weight, boolean hasMinimum) {}

  private WeightedMaxMinAllocation() {}

  /**
   * Allocates a rate.
   *
   * @param rate the rate to allocate, in the unit of the demands
   * @param demands the demands
   * @return the rate of each demand, in their order
   */
  static double[] allocate(double rate, List<Demand> demands) {
    double[] allocated = new double[demands.size()];
    double remainder = rate;
    for (int i = 0; i < allocated.length; i++) {
      Demand demand = demands.get(i);
      double minimum = demand.hasMinimum() ? 2 * rate * MINIMUM_RATIO / allocated.length : 0;
      allocated[i] = Math.min(demand.wantedRate(), minimum);
      remainder -= allocated[i];
    }
    for (int pass = 0; pass < allocated.length && remainder > 0; pass++) {
      remainder = shareByWeight(remainder, demands, allocated);
    }
    for (int i = 0; i < allocated.length; i++) {
      allocated[i] += Math.max(0, remainder) / allocated.length;
    }
    return allocated;
  }

  /** Shares the remainder among the demands that want more, and returns the unused part of it. */
  private static double shareByWeight(double remainder, List<Demand> demands, double[] allocated) {
    double weights = 0;
    for (int i = 0; i < allocated.length; i++) {
      weights += allocated[i] < demands.get(i).wantedRate() ? demands.get(i).weight() : 0;
    }
    double unused = remainder;
    for (int i = 0; i < allocated.length && weights > 0; i++) {
      Demand demand = demands.get(i);
      if (allocated[i] < demand.wantedRate()) {
        double increment =
            Math.min(demand.wantedRate() - allocated[i], remainder * demand.weight() / weights);
        allocated[i] += increment;
        unused -= increment;
      }
    }
    return unused;
  }
}
