package mothwing.bench;

import mothwing.override.EffectiveOverrides;
import mothwing.override.OverrideLimits;
import mothwing.override.OverrideTable;
import mothwing.override.TrafficOverride;
import mothwing.override.Version;

/**
 * Measures the cost of the override decision per request: the lookup table compared with a scan of
 * all overrides in effect, in one run.
 */
public final class OverrideBench {
  private static final int DECISIONS = 2_000_000;
  private static final int CLASSES = 12;
  private static final int TENANTS = 50;

  private OverrideBench() {}

  private static OverrideTable createOverrides(int count) {
    OverrideTable overrides = new OverrideTable(OverrideLimits.DEFAULTS);
    for (int i = 0; i < count; i++) {
      overrides.create(
          1,
          new TrafficOverride(
              "o" + i,
              new Version(1, "n1", i),
              TrafficOverride.Action.REFUSE,
              "class-" + i % CLASSES,
              i % 3 == 0 ? "" : "tenant-" + i % TENANTS,
              0.5,
              "",
              TrafficOverride.Selector.ALL,
              3600,
              i % 5,
              false,
              "",
              ""));
    }
    return overrides;
  }

  public static void main(String[] arguments) {
    String[] classes = new String[CLASSES];
    for (int i = 0; i < CLASSES; i++) {
      classes[i] = "class-" + i;
    }
    String[] tenants = new String[TENANTS];
    for (int i = 0; i < tenants.length; i++) {
      tenants[i] = "tenant-" + i;
    }
    System.out.println(
        "overrides | ns per decision: table | scan / table, each as median (minimum to maximum) of five runs");
    // The first line is the warm-up.
    for (int count : new int[] {10, 0, 10, 1000}) {
      OverrideTable overrides = createOverrides(count);
      var inEffect = overrides.inEffect(2);
      EffectiveOverrides effective =
          new EffectiveOverrides(inEffect, "n1", "one", "rack", Long.MAX_VALUE);
      double[] tableNanos = new double[5];
      double[] ratio = new double[5];
      long matches = 0;
      for (int run = 0; run < tableNanos.length; run++) {
        long start = System.nanoTime();
        for (int i = 0; i < DECISIONS; i++) {
          matches +=
              effective.isValid(i)
                      && effective.refusalFor(classes[i % CLASSES], tenants[i % TENANTS], 0.25)
                          != null
                  ? 1
                  : 0;
        }
        tableNanos[run] = (System.nanoTime() - start) / (double) DECISIONS;
        int scans = DECISIONS / Math.max(1, count);
        start = System.nanoTime();
        for (int i = 0; i < scans; i++) {
          for (TrafficOverride override : inEffect) {
            if ((override.requestClass().isEmpty()
                    || override.requestClass().equals(classes[i % CLASSES]))
                && (override.tenant().isEmpty()
                    || override.tenant().equals(tenants[i % TENANTS]))) {
              matches++;
              break;
            }
          }
        }
        ratio[run] = (System.nanoTime() - start) / (double) scans / tableNanos[run];
      }
      System.out.println(
          count
              + " | "
              + Spread.of(tableNanos)
              + " | "
              + Spread.of(ratio)
              + (matches < 0 ? "!" : ""));
    }
  }
}
