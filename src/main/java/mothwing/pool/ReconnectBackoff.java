package mothwing.pool;

/** Computes the delay before the next attempt to connect, in microseconds. */
final class ReconnectBackoff {
  private static final long MAX_DELAY_MICROS = 500_000;
  private static final long MIN_DELAY_MICROS = 5_000;

  /** A connection that was open for at least this time does not count as short-lived. */
  private static final long STABLE_MICROS = 2_000_000;

  /**
   * Bounds the share of time without a connection to one ninth if all connections are short-lived,
   * unless the minimum delay is longer.
   */
  private static final int OPEN_TO_DELAY_RATIO = 8;

  private long delayMicros;

  long delayMicros() {
    return delayMicros;
  }

  /** Resets the delay, so that the next attempt is made at once. */
  void reset() {
    delayMicros = 0;
  }

  /** Increases the delay, after an attempt was scheduled. */
  void increase() {
    delayMicros = Math.min(MAX_DELAY_MICROS, Math.max(MIN_DELAY_MICROS, 2 * delayMicros));
  }

  /**
   * Updates the delay after the end of a usable connection. After a stable connection it is 0;
   * after a short-lived one it is at most one eighth of the time that the connection was open, but
   * at least the minimum.
   *
   * @param openMicros the time for which the connection was open
   */
  void connectionEnded(long openMicros) {
    delayMicros =
        openMicros >= STABLE_MICROS
            ? 0
            : Math.max(MIN_DELAY_MICROS, Math.min(delayMicros, openMicros / OPEN_TO_DELAY_RATIO));
  }
}
