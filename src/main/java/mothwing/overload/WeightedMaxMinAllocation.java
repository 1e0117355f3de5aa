package mothwing.overload;

import java.util.List;

/**
 * The weighted max-min allocation of a rate: every demand gets its minimum, the rest goes by weight
 * up to what each demand wants, and what nobody wants is divided evenly.
 */
final class WeightedMaxMinAllocation {
  /** Share of the rate that is divided into minimums before the weights count. */
  private static final double MINIMUM_RATIO = 0.1;

  /**
   * One demand.
   *
   * @param wanted the rate that it could use
   * @param weight its weight against the others
   * @param hasMinimum whether it gets a minimum; half of all demands are taken to have one
   */
  record Demand(double wanted, double weight, boolean hasMinimum) {}

  private WeightedMaxMinAllocation() {}

  /**
   * Allocates a rate.
   *
   * @param rate what is allocated, in the unit of the demands
   * @param demands the demands
   * @return the rate of each demand, in their order
   */
  static double[] allocate(double rate, List<Demand> demands) {
    double[] given = new double[demands.size()];
    double rest = rate;
    for (int i = 0; i < given.length; i++) {
      Demand demand = demands.get(i);
      double minimum = demand.hasMinimum() ? 2 * rate * MINIMUM_RATIO / given.length : 0;
      given[i] = Math.min(demand.wanted(), minimum);
      rest -= given[i];
    }
    for (int pass = 0; pass < given.length && rest > 0; pass++) {
      rest = shareByWeight(rest, demands, given);
    }
    for (int i = 0; i < given.length; i++) {
      given[i] += Math.max(0, rest) / given.length;
    }
    return given;
  }

  /** Shares the rest among the demands that want more; returns what is left of it. */
  private static double shareByWeight(double rest, List<Demand> demands, double[] given) {
    double weights = 0;
    for (int i = 0; i < given.length; i++) {
      weights += given[i] < demands.get(i).wanted() ? demands.get(i).weight() : 0;
    }
    double left = rest;
    for (int i = 0; i < given.length && weights > 0; i++) {
      Demand demand = demands.get(i);
      if (given[i] < demand.wanted()) {
        double more = Math.min(demand.wanted() - given[i], rest * demand.weight() / weights);
        given[i] += more;
        left -= more;
      }
    }
    return left;
  }
}
