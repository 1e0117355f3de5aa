package mothwing.bench;

import mothwing.override.EffectiveOverrides;
import mothwing.override.OverrideLimits;
import mothwing.override.OverrideTable;
import mothwing.override.TrafficOverride;
import mothwing.override.Version;

/**
 * What a decision by overrides costs a request: the table, against going through all that act, in
 * one run.
 */
public final class OverrideBench {
  private static final int ROUNDS = 2_000_000;
  private static final int CLASSES = 12;

  private OverrideBench() {}

  private static OverrideTable book(int many) {
    OverrideTable book = new OverrideTable(OverrideLimits.DEFAULTS);
    for (int i = 0; i < many; i++) {
      book.create(
          1,
          new TrafficOverride(
              "o" + i,
              new Version(1, "n1", i),
              TrafficOverride.Action.REFUSE,
              "class-" + i % CLASSES,
              i % 3 == 0 ? "" : "tenant-" + i % 50,
              0.5,
              "",
              TrafficOverride.Selector.ALL,
              3600,
              i % 5,
              false,
              "",
              ""));
    }
    return book;
  }

  public static void main(String[] arguments) {
    String[] kinds = new String[CLASSES];
    for (int i = 0; i < CLASSES; i++) {
      kinds[i] = "class-" + i;
    }
    String[] tenants = new String[50];
    for (int i = 0; i < tenants.length; i++) {
      tenants[i] = "tenant-" + i;
    }
    System.out.println(
        "overrides | ns a decision: table | all of them / table, each with least and most of five runs");
    for (int many : new int[] {10, 0, 10, 1000}) { // the first line warms up; not to be read
      OverrideTable book = book(many);
      var acting = book.inEffect(2);
      EffectiveOverrides effect =
          new EffectiveOverrides(acting, "n1", "one", "rack", Long.MAX_VALUE);
      double[] table = new double[5];
      double[] ratio = new double[5];
      long found = 0;
      for (int run = 0; run < table.length; run++) {
        long start = System.nanoTime();
        for (int i = 0; i < ROUNDS; i++) {
          found +=
              effect.isValid(i)
                      && effect.refusalFor(kinds[i % CLASSES], tenants[i % 50], 0.25) != null
                  ? 1
                  : 0;
        }
        table[run] = (System.nanoTime() - start) / (double) ROUNDS;
        int fewer = ROUNDS / Math.max(1, many);
        start = System.nanoTime();
        for (int i = 0; i < fewer; i++) {
          for (TrafficOverride one : acting) {
            if ((one.requestClass().isEmpty() || one.requestClass().equals(kinds[i % CLASSES]))
                && (one.tenant().isEmpty() || one.tenant().equals(tenants[i % 50]))) {
              found++;
              break;
            }
          }
        }
        ratio[run] = (System.nanoTime() - start) / (double) fewer / table[run];
      }
      System.out.println(
          many + " | " + Spread.of(table) + " | " + Spread.of(ratio) + (found < 0 ? "!" : ""));
    }
  }
}
