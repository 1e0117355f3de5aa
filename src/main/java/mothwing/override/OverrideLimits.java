package mothwing.override;

/**
 * The bounds of one book.
 *
 * @param live most overrides in force or unsure
 * @param remembered most that are over and remembered
 * @param text most characters of the texts of those that are live
 * @param seconds the longest lifetime
 * @param drift parts by which clocks may run fast or slow
 */
public record OverrideLimits(int live, int remembered, int text, int seconds, double drift) {
  /** 1,000 of each, 64 KB, a day, 500 parts in a million. */
  public static final OverrideLimits USUAL =
      new OverrideLimits(1000, 1000, 64 << 10, 86_400, 500e-6);
}
