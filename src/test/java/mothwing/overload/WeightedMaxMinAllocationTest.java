package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import mothwing.overload.WeightedMaxMinAllocation.Demand;
import org.junit.jupiter.api.Test;

class WeightedMaxMinAllocationTest {
  private static final double TOLERANCE = 1e-9;

  private static double[] allocate(double rate, Demand... demands) {
    return WeightedMaxMinAllocation.allocate(rate, List.of(demands));
  }

  @Test
  void dividesSurplusEvenly() {
    double[] rates = allocate(10, new Demand(1, 1, true), new Demand(3, 1, false));
    assertArrayEquals(new double[] {4, 6}, rates, TOLERANCE);
  }

  @Test
  void sharesScarceRateByWeightAboveMinimum() {
    double[] rates = allocate(10, new Demand(100, 1, true), new Demand(100, 8, false));
    assertArrayEquals(new double[] {2, 8}, rates, TOLERANCE);
  }

  @Test
  void sharesUnusedRateOfSmallDemandAmongOtherDemands() {
    double[] rates =
        allocate(9, new Demand(1, 100, false), new Demand(50, 1, false), new Demand(50, 3, false));
    assertArrayEquals(new double[] {1, 2, 6}, rates, TOLERANCE);
  }

  @Test
  void allocatesWholeRateForAnyDemands() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<Demand> demands =
          Stream.generate(
                  () -> new Demand(random.nextDouble(), random.nextDouble(), random.nextBoolean()))
              .limit(6)
              .toList();
      double[] rates = WeightedMaxMinAllocation.allocate(2, demands);
      assertEquals(2, Arrays.stream(rates).sum(), TOLERANCE, "seed " + seed);
    }
  }
}
