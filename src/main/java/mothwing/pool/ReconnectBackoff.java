package mothwing.pool;

/** The delay before the next attempt to connect, in microseconds. */
final class ReconnectBackoff {
  private static final long MAX_DELAY_MICROS = 500_000;
  private static final long MIN_DELAY_MICROS = 5_000;

  /** A connection that was open for so long is no part of a series of short ones. */
  private static final long STABLE_MICROS = 2_000_000;

  /** Bounds the share of time without a connection, in a series of short ones, to one ninth. */
  private static final int OPEN_TO_DELAY_RATIO = 8;

  private long delayMicros;

  long delayMicros() {
    return delayMicros;
  }

  /** The next attempt is made at once. */
  void reset() {
    delayMicros = 0;
  }

  /** An attempt is scheduled: the delay before the one after it grows. */
  void increase() {
    delayMicros = Math.min(MAX_DELAY_MICROS, Math.max(MIN_DELAY_MICROS, 2 * delayMicros));
  }

  /**
   * A connection that was usable has ended: the delay is 0 after a stable one, and grows with a
   * series of short ones.
   *
   * @param openMicros for how long it was open
   */
  void connectionEnded(long openMicros) {
    delayMicros =
        openMicros >= STABLE_MICROS
            ? 0
            : Math.max(MIN_DELAY_MICROS, Math.min(delayMicros, openMicros / OPEN_TO_DELAY_RATIO));
  }
}
