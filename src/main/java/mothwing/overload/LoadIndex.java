package mothwing.overload;

import java.util.Arrays;
import java.util.List;

/**
 * The load index of QGuard: the moving average of each gauge scores +1 above its overload
 * threshold, -1 below its underload threshold and 0 between them; the index is the sum of the
 * scores.
 */
final class LoadIndex {
  /** Samples in a moving average. */
  static final int HISTORY = 10;

  /** Index from which an interval counts as overloaded: a single busy gauge is no overload. */
  static final int OVERLOADED = 2;

  /** Index up to which an interval counts as underloaded. */
  static final int UNDERLOADED = 0;

  /** Utilization of the cores below which they count as idle. */
  private static final double IDLE_CORES_RATIO = 0.8;

  /** The last values of one gauge, each a share of its ceiling, and its thresholds. */
  private static final class Gauge {
    private final double underload;
    private final double overload;
    private final double[] history = new double[HISTORY];

    Gauge(double underload, double overload) {
      this.underload = underload;
      this.overload = overload;
    }

    void add(int sample, double value) {
      history[sample % HISTORY] = value;
    }

    int score() {
      double mean = Arrays.stream(history).sum() / HISTORY;
      if (mean > overload) {
        return 1;
      }
      return mean < underload ? -1 : 0;
    }
  }

  private final Gauge cores = new Gauge(IDLE_CORES_RATIO, 0.95);
  private final Gauge memory = new Gauge(0.02, 0.85);
  private final Gauge runQueue = new Gauge(0.02, 0.5);
  private final Gauge backlog = new Gauge(0.1, 0.4);
  private int samples;

  /** The utilization of the cores below which they count as idle, of 0 to 1. */
  static double idleCores() {
    return IDLE_CORES_RATIO;
  }

  /**
   * Adds one sample.
   *
   * @param coresRatio share of the cores that is busy
   * @param memoryRatio share of the memory in use
   * @param runQueueRatio running requests as a share of those that the machine survives
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

  /** The number of samples that were added. */
  int samples() {
    return samples;
  }
}
