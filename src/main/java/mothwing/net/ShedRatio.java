package mothwing.net;

/**
 * The share of requests that is shed without an admission decision: it grows while connections wait
 * too long for the read budget without interruption, and falls afterwards. Times are microseconds
 * of one monotonic clock.
 */
final class ShedRatio {
  /** Requests are shed once connections have waited too long for this time: a burst is shorter. */
  static final long GRACE_MICROS = 150_000;

  /** Time constant of the rise: short, because queues grow in the meantime. */
  private static final double RISE_MICROS = 250_000;

  private static final double FALL_MICROS = 1_000_000;

  /** A smaller ratio sheds nothing, so that shedding ends some seconds after the overload. */
  private static final double MIN_RATIO = 0.01;

  /**
   * Longest interval that one update counts, since a stall of the process says nothing about its
   * load.
   */
  private static final long MAX_RISE_STEP_MICROS = 100_000;

  private long behindSince = Connection.NEVER;
  private long updatedAt;
  private double ratio;
  private double credit;

  /**
   * Creates a ratio of 0.
   *
   * @param now the current time
   */
  ShedRatio(long now) {
    updatedAt = now;
  }

  /**
   * Updates the ratio.
   *
   * @param now the current time
   * @param isBehind whether connections have waited too long since the last update
   */
  void update(long now, boolean isBehind) {
    if (isBehind) {
      behindSince = Math.min(behindSince, now);
      double interval =
          now - behindSince > GRACE_MICROS ? Math.min(MAX_RISE_STEP_MICROS, now - updatedAt) : 0;
      ratio = 1 - (1 - ratio) * Math.exp(-interval / RISE_MICROS);
    } else {
      behindSince = Connection.NEVER;
      ratio *= Math.exp((updatedAt - now) / FALL_MICROS);
      ratio = ratio < MIN_RATIO ? 0 : ratio;
    }
    updatedAt = now;
  }

  /** Returns whether the next request is to be shed. Each call counts as one request. */
  boolean shedNext() {
    credit += ratio;
    if (credit < 1) {
      return false;
    }
    credit--;
    return true;
  }
}
