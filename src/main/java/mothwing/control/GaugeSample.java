package mothwing.control;

import java.util.Arrays;
import java.util.List;

/**
 * The gauges of one moment, or their absence. A sample is never delivered twice, since a controller
 * counts each as a new measurement.
 *
 * @param gauges in the order of the settings; empty where they are not known
 * @param age microseconds since gauges were last known; 0 where these are of this moment
 */
public record GaugeSample(List<Double> gauges, long age) {
  /** Copies the gauges. */
  public GaugeSample {
    gauges = List.copyOf(gauges);
  }

  /**
   * Gauges of this moment.
   *
   * @param gauges in the order of the settings
   * @return the sample
   */
  public static GaugeSample of(double... gauges) {
    return new GaugeSample(Arrays.stream(gauges).boxed().toList(), 0);
  }

  /**
   * No gauges.
   *
   * @param age microseconds since they were last known
   * @return the sample
   */
  public static GaugeSample absent(long age) {
    return new GaugeSample(List.of(), age);
  }

  /**
   * Whether gauges are known.
   *
   * @return true if so
   */
  public boolean isKnown() {
    return !gauges.isEmpty();
  }
}
