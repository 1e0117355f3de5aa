package mothwing.overload;

import java.util.Arrays;
import java.util.List;

/**
 * Computes the load index of QGuard. Each gauge scores +1 if its moving average is above its
 * overload threshold, -1 if it is below its underload threshold and 0 otherwise; the index is the
 * sum of the scores.
 */
final class LoadIndex {
  /** Number of samples in a moving average. */
  static final int HISTORY_SAMPLES = 10;

  /** Lowest index of an overloaded interval: a single busy gauge is no overload. */
  static final int MIN_OVERLOADED_INDEX = 2;

  /** Highest index of an underloaded interval. */
  static final int MAX_UNDERLOADED_INDEX = 0;

  /** Utilization below which the cores count as idle. */
  private static final double IDLE_UTILIZATION_RATIO = 0.8;

  /** The recent values of one gauge, as shares of its maximum, and its thresholds. */
  private static final class Gauge {
    private final double underloadThreshold;
    private final double overloadThreshold;
    private final double[] history = new double[HISTORY_SAMPLES];

    Gauge(double underloadThreshold, double overloadThreshold) {
      this.underloadThreshold = underloadThreshold;
      this.overloadThreshold = overloadThreshold;
    }

    void add(int sample, double value) {
      history[sample % HISTORY_SAMPLES] = value;
    }

    int score() {
      double mean = Arrays.stream(history).sum() / HISTORY_SAMPLES;
      if (mean > overloadThreshold) {
        return 1;
      }
      return mean < underloadThreshold ? -1 : 0;
    }
  }

  private final Gauge cores = new Gauge(IDLE_UTILIZATION_RATIO, 0.95);
  private final Gauge memory = new Gauge(0.02, 0.85);
  private final Gauge runQueue = new Gauge(0.02, 0.5);
  private final Gauge backlog = new Gauge(0.1, 0.4);
  private int samples;

  /** Returns the utilization below which the cores count as idle, from 0 to 1. */
  static double idleUtilization() {
    return IDLE_UTILIZATION_RATIO;
  }

  /**
   * Adds a sample and returns the updated index.
   *
   * @param coresRatio share of the cores that is busy
   * @param memoryRatio share of the memory in use
   * @param runQueueRatio running requests as a share of those that the machine tolerates
   * @param backlogRatio wait that the open requests cause, as a share of their deadlines
   * @return the index, from minus to plus the number of gauges
   */
  int add(double coresRatio, double memoryRatio, double runQueueRatio, double backlogRatio) {
    cores.add(samples, coresRatio);
    memory.add(samples, memoryRatio);
    runQueue.add(samples, runQueueRatio);
    backlog.add(samples, backlogRatio);
    samples++;
    return List.of(cores, memory, runQueue, backlog).stream().mapToInt(Gauge::score).sum();
  }

  /** Returns the number of samples added so far. */
  int samples() {
    return samples;
  }
}
