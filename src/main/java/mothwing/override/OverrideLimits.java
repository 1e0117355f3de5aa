package mothwing.override;

/**
 * The bounds of one book.
 *
 * @param maxLive most overrides in force or unsure
 * @param maxTombstones most that are over and remembered
 * @param maxTextChars most characters of the texts of those that are live
 * @param maxTtlSeconds the longest lifetime
 * @param maxClockDriftRatio parts by which clocks may run fast or slow
 */
public record OverrideLimits(
    int maxLive,
    int maxTombstones,
    int maxTextChars,
    int maxTtlSeconds,
    double maxClockDriftRatio) {
  /** 1,000 of each, 64 KB, a day, 500 parts in a million. */
  public static final OverrideLimits DEFAULTS =
      new OverrideLimits(1000, 1000, 64 << 10, 86_400, 500e-6);
}
