package mothwing.control;

import java.util.Arrays;
import java.util.List;

/**
 * The gauges at one time, or their absence. A sample is never delivered twice, since a controller
 * counts each as a new measurement.
 *
 * @param gauges the gauges in the order of the settings; empty if unknown
 * @param age microseconds since gauges were last known; 0 if these are current
 */
public record GaugeSample(List<Double> gauges, long age) {
  public GaugeSample {
    gauges = List.copyOf(gauges);
  }

  /**
   * Returns a sample of current gauges.
   *
   * @param gauges the gauges in the order of the settings
   */
  public static GaugeSample of(double... gauges) {
    return new GaugeSample(Arrays.stream(gauges).boxed().toList(), 0);
  }

  /**
   * Returns a sample without gauges.
   *
   * @param age microseconds since gauges were last known
   */
  public static GaugeSample absent(long age) {
    return new GaugeSample(List.of(), age);
  }

  /** Returns whether gauges are known. */
  public boolean isKnown() {
    return !gauges.isEmpty();
  }
}
