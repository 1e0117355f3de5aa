package mothwing.bench;

import java.util.function.Consumer;
import mothwing.net.IdleConnections;

/**
 * Deadlines of idle connections: the timing wheel against a scan of all, by the time of one look,
 * 50 ms apart.
 */
public final class WheelBench {
  private static final int LOOKS = 500; // 25 s: within the idle span, so that all stay open

  private WheelBench() {}

  private static double micros(int many, Consumer<IdleConnections> look) {
    IdleConnections connections = new IdleConnections(many);
    long start = System.nanoTime();
    for (int i = 0; i < LOOKS; i++) {
      look.accept(connections);
    }
    double micros = (System.nanoTime() - start) / 1e3 / LOOKS;
    return connections.closed() > many * LOOKS ? Double.NaN : micros;
  }

  public static void main(String[] arguments) {
    System.out.println(
        "connections | us a look: scan, wheel | scan / wheel, each with least and most of its runs");
    for (int many : new int[] {2_000, 2_000, 10_000}) { // the first line warms up; not to be read
      double[] ratios = new double[5];
      double[][] looks = new double[2][ratios.length];
      for (int run = 0; run < ratios.length; run++) {
        looks[0][run] = micros(many, IdleConnections::scan);
        looks[1][run] = micros(many, IdleConnections::wheel);
        ratios[run] = looks[0][run] / looks[1][run];
      }
      System.out.println(
          many
              + " | "
              + Spread.of(looks[0])
              + ", "
              + Spread.of(looks[1])
              + " | "
              + Spread.of(ratios));
    }
  }
}
