package mothwing.overload;

import java.util.Arrays;

/**
 * The ladder of filters of QGuard and the damped step through it: from the first filter, which
 * admits everything, to the last, which rejects everything. Each inner filter has a rate of
 * admitted work; the rates fall along the ladder and lie closer about a focal point, which is moved
 * to the mean rate of the filters that were in force.
 *
 * <p>Two steps are a sojourn apart at the least, or twice the learned lag between a step and its
 * effect; tightening needs several overloaded intervals for each underloaded one. Times are
 * microseconds of one clock, rates are cores of expected work.
 */
final class FilterLadder {
  /** Filters between the one that admits and the one that rejects everything. */
  static final int INNER_FILTERS = 12;

  /** Overloaded intervals for each underloaded one that tightening needs. */
  private static final double MODERATOR_RATIO = 3;

  /** Samples between two steps: one full history of the load index. */
  private static final int SOJOURN_SAMPLES = 10;

  /** The longest time between two steps: the lag of an outage must not freeze the ladder. */
  private static final int MAX_WAIT_SOJOURNS = 6;

  /** Rate of the first inner filter over the best completion rate: it hardly shapes traffic. */
  private static final double TOP_RATE_RATIO = 1.25;

  /** Rate of the last inner filter over the best completion rate. */
  private static final double BOTTOM_RATE_RATIO = 0.2;

  /** Exponent that puts the rates closer together about the focal point. */
  private static final double SPACING_EXPONENT = 1.6;

  /** Sojourns between two moves of the focal point. */
  private static final int REFINEMENT_SOJOURNS = 20;

  /** Weight of one overload in the learned lag. */
  private static final double LAG_WEIGHT = 0.1;

  /** Seconds in which the best completion rate fades. */
  private static final double BEST_RATE_SECONDS = 60;

  private double[] rates;
  private int filter;
  private double bestRate;
  private double focalRate;
  private final double[] secondsInFilter = new double[INNER_FILTERS + 2];
  private int overloadedIntervals;
  private int underloadedIntervals;
  private long overloadedSince;
  private double lag;
  private long lastStepAt;
  private long refinedAt;

  /**
   * Makes one that admits everything.
   *
   * @param cores the number of cores, the best completion rate until one is measured
   */
  FilterLadder(int cores) {
    bestRate = cores;
    focalRate = cores;
    rates = ladder();
  }

  /** The server has started at the given time. */
  void started(long now) {
    lastStepAt = now;
    refinedAt = now;
  }

  /**
   * The filter in force.
   *
   * @return 0 where everything is admitted, above {@link #INNER_FILTERS} where it is rejected
   */
  int filter() {
    return filter;
  }

  /** The rate of the filter in force, in cores of expected work. */
  double rate() {
    return rates[filter];
  }

  /**
   * Takes the rate at which work was completed in an interval.
   *
   * @param index the load index of the interval
   * @param rate cores of expected work that were completed
   * @param cores the number of cores, which bounds the rate
   * @param span seconds of the interval
   */
  void completed(int index, double rate, int cores, double span) {
    if (index < LoadIndex.OVERLOADED) {
      bestRate = Math.min(cores, Math.max(bestRate * (1 - span / BEST_RATE_SECONDS), rate));
    }
  }

  /**
   * Takes one interval, and takes a step where it is time.
   *
   * @param now the clock
   * @param index the load index of the interval
   * @param span seconds of the interval
   * @param sample microseconds between samples
   * @return whether this step reached the filter that rejects everything
   */
  boolean step(long now, int index, double span, long sample) {
    secondsInFilter[filter] += span;
    count(now, index);
    long sojourn = SOJOURN_SAMPLES * sample;
    if (now - lastStepAt < Math.max(sojourn, Math.min(2 * lag, MAX_WAIT_SOJOURNS * sojourn))) {
      return false;
    }
    int next = filter;
    if (overloadedIntervals > 0 && overloadedIntervals >= MODERATOR_RATIO * underloadedIntervals) {
      next = Math.min(rates.length - 1, filter + 1);
    } else if (underloadedIntervals > overloadedIntervals) {
      next = Math.max(0, filter - 1);
    }
    overloadedIntervals = 0;
    underloadedIntervals = 0;
    lastStepAt = now;
    boolean rejectsAll = next > filter && next == rates.length - 1;
    filter = next;
    if (now - refinedAt > REFINEMENT_SOJOURNS * sojourn) {
      refine(now);
    }
    return rejectsAll;
  }

  private void count(long now, int index) {
    if (index >= LoadIndex.OVERLOADED) {
      overloadedIntervals++;
      overloadedSince = overloadedSince == 0 ? now : overloadedSince;
    } else if (index <= LoadIndex.UNDERLOADED) {
      underloadedIntervals++;
      if (overloadedSince > 0) {
        lag += ((now - overloadedSince) - lag) * LAG_WEIGHT;
        overloadedSince = 0;
      }
    }
  }

  /** Moves the focal point to the mean rate in force and the filter to the one of similar rate. */
  private void refine(long now) {
    refinedAt = now;
    double time = 0;
    double sum = 0;
    for (int i = 1; i <= INNER_FILTERS; i++) {
      time += secondsInFilter[i];
      sum += secondsInFilter[i] * rates[i];
    }
    focalRate = time > 0 ? sum / time : bestRate;
    Arrays.fill(secondsInFilter, 0);
    double rate = rates[filter];
    rates = ladder();
    if (filter > 0 && filter <= INNER_FILTERS) {
      filter = 1;
      while (filter < INNER_FILTERS && rates[filter] > rate) {
        filter++;
      }
    }
  }

  /** The rates of all filters, closer together about the focal point. */
  private double[] ladder() {
    double[] all = new double[INNER_FILTERS + 2];
    double top = bestRate * TOP_RATE_RATIO;
    double bottom = bestRate * BOTTOM_RATE_RATIO;
    double middle = Math.max(bottom, Math.min(top, focalRate));
    all[0] = Double.MAX_VALUE / ControllerContext.SECOND_MICROS / ControllerContext.SECOND_MICROS;
    for (int i = 1; i <= INNER_FILTERS; i++) {
      double position = 1 - 2.0 * (i - 1) / (INNER_FILTERS - 1);
      double reach = position > 0 ? top - middle : middle - bottom;
      double spacing = Math.pow(Math.abs(position), SPACING_EXPONENT);
      all[i] = middle + Math.signum(position) * spacing * reach;
    }
    return all;
  }
}
