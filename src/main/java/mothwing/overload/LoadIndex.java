package mothwing.overload;

import java.util.Arrays;

/**
 * The load index of QGuard: each gauge's moving average scores +1 over its overload threshold, -1
 * under its underload threshold, else 0; the index is the sum.
 *
 * <p>Gauges, in order: busy cores, memory, run queue, wait of held requests, each as a share of its
 * ceiling.
 */
public final class LoadIndex {
  /** Samples averaged (h): the middle of the paper's 5 to 15. */
  public static final int HISTORY = 10;

  /**
   * Index from which an interval counts as overloaded: one busy gauge alone is a server well used.
   */
  public static final int OVERLOADED = 2;

  /** Index up to which an interval counts as underloaded. */
  public static final int UNDERLOADED = 0;

  private static final double[] OVER = {0.95, 0.85, 0.5, 0.4};
  private static final double[] UNDER = {0.8, 0.02, 0.02, 0.1};

  private final double[][] history = new double[OVER.length][HISTORY];
  private int samples;

  /**
   * The share of busy cores under which they count as idle.
   *
   * @return a share of 0 to 1
   */
  public static double idleCores() {
    return UNDER[0];
  }

  /**
   * Takes one sample.
   *
   * @param cores share of the cores that are busy
   * @param memory share of the memory in use
   * @param runQueue running requests as a share of those that the machine survives
   * @param holdWait the wait that the work in hand means, as a share of deadlines
   * @return the index, from minus to plus the number of gauges
   */
  public int take(double cores, double memory, double runQueue, double holdWait) {
    double[] shares = {cores, memory, runQueue, holdWait};
    for (int gauge = 0; gauge < shares.length; gauge++) {
      history[gauge][samples % HISTORY] = shares[gauge];
    }
    samples++;
    int index = 0;
    for (int gauge = 0; gauge < shares.length; gauge++) {
      double mean = Arrays.stream(history[gauge]).sum() / HISTORY;
      index += mean > OVER[gauge] ? 1 : mean < UNDER[gauge] ? -1 : 0;
    }
    return index;
  }

  /**
   * How many samples were taken.
   *
   * @return their number
   */
  public int samples() {
    return samples;
  }
}
