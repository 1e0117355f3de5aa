package mothwing.overload;

import java.util.Arrays;

/**
 * The filter ladder of QGuard, with damped steps. The first filter admits everything, the last one
 * rejects everything. Each inner filter admits work at a certain rate; the rates decrease along the
 * ladder and lie closer together around a focal point, which is moved to the time-weighted mean
 * rate of the inner filters recently in use.
 *
 * <p>Two steps are at least one sojourn apart (the minimum time at one filter, ten samples), or
 * twice the average duration of an overload if that is longer, up to six sojourns. An overload
 * lasts from its first overloaded interval to the next underloaded one. Tightening requires several
 * overloaded intervals for each underloaded one. Times are microseconds of one clock, rates are
 * cores of expected work.
 */
final class FilterLadder {
  /** Number of filters between the one that admits and the one that rejects everything. */
  static final int INNER_FILTERS = 12;

  /** Overloaded intervals per underloaded one that are required to tighten the filter. */
  private static final double TIGHTENING_RATIO = 3;

  /** Minimum number of samples between two steps: one full history of the load index. */
  private static final int SOJOURN_SAMPLES = 10;

  /**
   * Upper bound of the wait between two steps that the average overload requires, in sojourns; a
   * long outage must not freeze the ladder.
   */
  private static final int MAX_WAIT_SOJOURNS = 6;

  /**
   * Rate of the first inner filter as a multiple of the best completion rate; that filter rejects
   * hardly anything.
   */
  private static final double TOP_RATE_RATIO = 1.25;

  /** Rate of the last inner filter as a multiple of the best completion rate. */
  private static final double BOTTOM_RATE_RATIO = 0.2;

  /** Exponent that places the rates closer together around the focal point. */
  private static final double SPACING_EXPONENT = 1.6;

  /** Number of sojourns between two moves of the focal point. */
  private static final int REFINEMENT_SOJOURNS = 20;

  /** Weight of one overload in the average overload duration. */
  private static final double OVERLOAD_WEIGHT = 0.1;

  /** Seconds over which the best completion rate fades. */
  private static final double BEST_RATE_SECONDS = 60;

  /** Rate of the filter that admits everything; remains finite when converted to microseconds. */
  private static final double UNLIMITED_RATE =
      Double.MAX_VALUE / ControllerContext.MICROS_PER_SECOND / ControllerContext.MICROS_PER_SECOND;

  private double[] rates;
  private int filter;
  private double bestRate;
  private double focalRate;
  private final double[] secondsInFilter = new double[INNER_FILTERS + 2];
  private int overloadedIntervals;
  private int underloadedIntervals;
  private long overloadedSince;
  private double averageOverloadDuration;
  private long lastStepAt;
  private long refinedAt;

  /**
   * Creates a ladder whose current filter admits everything.
   *
   * @param cores the number of cores, used as the best completion rate until one is measured
   */
  FilterLadder(int cores) {
    bestRate = cores;
    focalRate = cores;
    rates = computeRates();
  }

  /** Records that the server starts at the given time. */
  void start(long now) {
    lastStepAt = now;
    refinedAt = now;
  }

  /**
   * Returns the index of the current filter.
   *
   * @return 0 if everything is admitted, above {@link #INNER_FILTERS} if everything is rejected
   */
  int filter() {
    return filter;
  }

  /** Returns the rate of the current filter, in cores of expected work. */
  double rate() {
    return rates[filter];
  }

  /**
   * Updates the best completion rate, unless the interval was overloaded.
   *
   * @param index the load index of the interval
   * @param rate cores of expected work that were completed
   * @param cores the number of cores, which bounds the rate
   * @param seconds the duration of the interval
   */
  void recordCompletionRate(int index, double rate, int cores, double seconds) {
    if (index < LoadIndex.MIN_OVERLOADED_INDEX) {
      bestRate = Math.min(cores, Math.max(bestRate * (1 - seconds / BEST_RATE_SECONDS), rate));
    }
  }

  /**
   * Counts one interval, and steps to the next or previous filter if it is time to.
   *
   * @param now the current time
   * @param index the load index of the interval
   * @param seconds the duration of the interval
   * @param samplePeriod microseconds between samples
   * @return whether this step reached the filter that rejects everything
   */
  boolean step(long now, int index, double seconds, long samplePeriod) {
    secondsInFilter[filter] += seconds;
    countInterval(now, index);
    long sojourn = SOJOURN_SAMPLES * samplePeriod;
    if (now - lastStepAt
        < Math.max(
            (double) sojourn,
            Math.min(2 * averageOverloadDuration, (double) (MAX_WAIT_SOJOURNS * sojourn)))) {
      return false;
    }
    int next = filter;
    if (overloadedIntervals > 0 && overloadedIntervals >= TIGHTENING_RATIO * underloadedIntervals) {
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

  private void countInterval(long now, int index) {
    if (index >= LoadIndex.MIN_OVERLOADED_INDEX) {
      overloadedIntervals++;
      overloadedSince = overloadedSince == 0 ? now : overloadedSince;
    } else if (index <= LoadIndex.MAX_UNDERLOADED_INDEX) {
      underloadedIntervals++;
      if (overloadedSince > 0) {
        averageOverloadDuration +=
            ((now - overloadedSince) - averageOverloadDuration) * OVERLOAD_WEIGHT;
        overloadedSince = 0;
      }
    }
  }

  /**
   * Moves the focal point to the time-weighted mean rate of the inner filters in use since the last
   * move, or to the best completion rate if none was. An inner current filter is replaced by the
   * first one whose new rate is not above its old rate, or by the last one.
   */
  private void refine(long now) {
    refinedAt = now;
    double seconds = 0;
    double weightedRate = 0;
    for (int i = 1; i <= INNER_FILTERS; i++) {
      seconds += secondsInFilter[i];
      weightedRate += secondsInFilter[i] * rates[i];
    }
    focalRate = seconds > 0 ? weightedRate / seconds : bestRate;
    Arrays.fill(secondsInFilter, 0);
    double rate = rates[filter];
    rates = computeRates();
    if (filter > 0 && filter <= INNER_FILTERS) {
      filter = 1;
      while (filter < INNER_FILTERS && rates[filter] > rate) {
        filter++;
      }
    }
  }

  /** Computes the rates of all filters, closer together around the focal point. */
  private double[] computeRates() {
    double[] filterRates = new double[INNER_FILTERS + 2];
    double top = bestRate * TOP_RATE_RATIO;
    double bottom = bestRate * BOTTOM_RATE_RATIO;
    double middle = Math.max(bottom, Math.min(top, focalRate));
    filterRates[0] = UNLIMITED_RATE;
    for (int i = 1; i <= INNER_FILTERS; i++) {
      double position = 1 - 2.0 * (i - 1) / (INNER_FILTERS - 1);
      double reach = position > 0 ? top - middle : middle - bottom;
      double spacing = Math.pow(Math.abs(position), SPACING_EXPONENT);
      filterRates[i] = middle + Math.signum(position) * spacing * reach;
    }
    return filterRates;
  }
}
