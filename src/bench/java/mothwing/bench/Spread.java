package mothwing.bench;

import java.util.Arrays;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/** The median of five runs, with the least and the most. */
record Spread(double median, double least, double most) {
  private static final int RUNS = 5;

  static Spread of(DoubleSupplier run) {
    double[] all = new double[RUNS];
    for (int i = 0; i < RUNS; i++) {
      all[i] = run.getAsDouble();
    }
    return of(all);
  }

  static Spread of(double... all) {
    Arrays.sort(all);
    return new Spread(all[all.length / 2], all[0], all[all.length - 1]);
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%.3g (%.3g to %.3g)", median, least, most);
  }
}
