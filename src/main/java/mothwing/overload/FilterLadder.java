package mothwing.overload;

import java.util.Arrays;

/**
 * The ladder of filters of QGuard and the damped step through it: from the first, which admits all,
 * to the last, which refuses all. Each inner filter has a rate of admitted work, falling down the
 * list, finer about a focal point that is moved to where the ladder stood of late.
 *
 * <p>Switches lie a sojourn apart at the least, or twice the learned lag between a step and its
 * effect; tightening wants several overloaded intervals for each underloaded one. Times are
 * microseconds of one clock; rates are cores' worth of expected work.
 */
public final class FilterLadder {
  /** Filters between admit-all and refuse-all: unrefined steps are a tenth of the range. */
  public static final int INNER_FILTERS = 12;

  private static final double MODERATOR =
      3; // overloaded for each underloaded interval (m): paper, 3 to 6
  private static final int SOJOURN = 10; // samples between switches (s): one full history
  private static final int LONGEST_WAIT = 6; // sojourns: an outage's lag must not freeze the ladder
  private static final double TOP_RATE = 1.25; // ratio of the best completion rate: hardly shapes
  private static final double BOTTOM_RATE = 0.2; // the same for the last filter before refuse-all
  private static final double BEND = 1.6; // exponent: steps are finer about the focal point
  private static final int REFINE = 20; // sojourns between refinements: time enough to oscillate
  private static final double LEARN_LAG = 0.1; // weight of one overload in the learned lag
  private static final double BEST_SECONDS = 60; // in which a best completion rate fades
  private static final double SECOND = 1e6; // microseconds

  private double[] rates;
  private int filter;
  private double best;
  private double focal;
  private final double[] timeIn = new double[INNER_FILTERS + 2];
  private int overloads;
  private int underloads;
  private long overSince;
  private double lag;
  private long lastSwitch;
  private long lastRefine;

  /**
   * Makes one that admits all.
   *
   * @param cores the number of cores, taken for the best completion rate until one is known
   */
  public FilterLadder(int cores) {
    best = cores;
    focal = cores;
    rates = ladder();
  }

  /**
   * The server has started.
   *
   * @param now the clock
   */
  public void started(long now) {
    lastSwitch = now;
    lastRefine = now;
  }

  /**
   * The filter in force.
   *
   * @return 0 where all is admitted, over {@link #INNER_FILTERS} where all is refused
   */
  public int filter() {
    return filter;
  }

  /**
   * The rate of the filter in force.
   *
   * @return cores' worth of expected work
   */
  public double rate() {
    return rates[filter];
  }

  /**
   * Takes the rate at which work was completed in an interval.
   *
   * @param index the load index of the interval
   * @param rate cores' worth of work a second
   * @param cores the number of cores, over which no rate is believed
   * @param span seconds of the interval
   */
  public void completed(int index, double rate, int cores, double span) {
    if (index < LoadIndex.OVERLOADED) {
      best = Math.min(cores, Math.max(best * (1 - span / BEST_SECONDS), rate));
    }
  }

  /**
   * Takes one interval, and steps where it is time.
   *
   * @param now the clock
   * @param index the load index of the interval
   * @param span seconds of the interval
   * @param sample microseconds between samples
   * @return whether refuse-all was reached by it
   */
  public boolean step(long now, int index, double span, long sample) {
    timeIn[filter] += span;
    count(now, index);
    long sojourn = SOJOURN * sample;
    if (now - lastSwitch
        < Math.max((double) sojourn, Math.min(2 * lag, (double) (LONGEST_WAIT * sojourn)))) {
      return false;
    }
    int next = filter;
    if (overloads > 0 && overloads >= MODERATOR * underloads) {
      next = Math.min(rates.length - 1, filter + 1);
    } else if (underloads > overloads) {
      next = Math.max(0, filter - 1);
    }
    overloads = 0;
    underloads = 0;
    lastSwitch = now;
    boolean refusesAll = next > filter && next == rates.length - 1;
    filter = next;
    if (now - lastRefine > REFINE * sojourn) {
      refine(now);
    }
    return refusesAll;
  }

  private void count(long now, int index) {
    if (index >= LoadIndex.OVERLOADED) {
      overloads++;
      overSince = overSince == 0 ? now : overSince;
    } else if (index <= LoadIndex.UNDERLOADED) {
      underloads++;
      if (overSince > 0) {
        lag += ((now - overSince) - lag) * LEARN_LAG;
        overSince = 0;
      }
    }
  }

  /** Moves the focal point to the mean rate of late and the filter to the one of like rate. */
  private void refine(long now) {
    lastRefine = now;
    double time = 0;
    double sum = 0;
    for (int i = 1; i <= INNER_FILTERS; i++) {
      time += timeIn[i];
      sum += timeIn[i] * rates[i];
    }
    focal = time > 0 ? sum / time : best;
    Arrays.fill(timeIn, 0);
    double rate = rates[filter];
    rates = ladder();
    if (filter > 0 && filter <= INNER_FILTERS) {
      filter = 1;
      while (filter < INNER_FILTERS && rates[filter] > rate) {
        filter++;
      }
    }
  }

  /** Rates down to refuse-all, finer about the focal point. */
  private double[] ladder() {
    double[] all = new double[INNER_FILTERS + 2];
    double top = best * TOP_RATE;
    double bottom = best * BOTTOM_RATE;
    double middle = Math.max(bottom, Math.min(top, focal));
    all[0] = Double.MAX_VALUE / SECOND / SECOND;
    for (int i = 1; i <= INNER_FILTERS; i++) {
      double place = 1 - 2.0 * (i - 1) / (INNER_FILTERS - 1);
      double reach = place > 0 ? top - middle : middle - bottom;
      all[i] = middle + Math.signum(place) * Math.pow(Math.abs(place), BEND) * reach;
    }
    return all;
  }
}
