package mothwing.bench;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/** The median, minimum and maximum of several runs. */
record Spread(double median, double minimum, double maximum) {
  private static final int RUNS = 5;

  /** Runs a measurement five times. */
  static Spread of(DoubleSupplier measurement) {
    double[] results = new double[RUNS];
    for (int i = 0; i < RUNS; i++) {
      results[i] = measurement.getAsDouble();
    }
    return of(results);
  }

  /** Summarizes the results of runs, and sorts them in place. */
  static Spread of(double... results) {
    Arrays.sort(results);
    return new Spread(results[results.length / 2], results[0], results[results.length - 1]);
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%.3g (%.3g to %.3g)", median, minimum, maximum);
  }
}
