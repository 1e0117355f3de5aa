package mothwing.bench;

import java.util.function.Consumer;
import mothwing.net.IdleConnections;

/**
 * Compares the timing wheel with a scan of all connections in the search for expired idle
 * connections, by the time of one check. Checks are 50 ms apart.
 */
public final class WheelBench {
  /** 25 s of checks, which is within the idle limit, so that all connections stay open. */
  private static final int CHECKS = 500;

  private WheelBench() {}

  private static double microsPerCheck(int count, Consumer<IdleConnections> check) {
    IdleConnections connections = new IdleConnections(count);
    long start = System.nanoTime();
    for (int i = 0; i < CHECKS; i++) {
      check.accept(connections);
    }
    double micros = (System.nanoTime() - start) / 1e3 / CHECKS;
    return connections.expiredCount() > count * CHECKS ? Double.NaN : micros;
  }

  public static void main(String[] arguments) {
    System.out.println(
        "connections | us per check: scan, wheel | scan / wheel, each as median (minimum to maximum)");
    // The first line is the warm-up.
    for (int count : new int[] {2_000, 2_000, 10_000}) {
      double[] ratios = new double[5];
      double[][] micros = new double[2][ratios.length];
      for (int run = 0; run < ratios.length; run++) {
        micros[0][run] = microsPerCheck(count, IdleConnections::scan);
        micros[1][run] = microsPerCheck(count, IdleConnections::checkWheel);
        ratios[run] = micros[0][run] / micros[1][run];
      }
      System.out.println(
          count
              + " | "
              + Spread.of(micros[0])
              + ", "
              + Spread.of(micros[1])
              + " | "
              + Spread.of(ratios));
    }
  }
}
