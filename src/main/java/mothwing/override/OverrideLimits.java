package mothwing.override;

/**
 * Limits of one {@link OverrideTable}.
 *
 * @param maxLive the maximum number of active and unconfirmed overrides
 * @param maxTombstones the number of entries beyond {@code maxLive}, for expired and revoked
 *     overrides; these may also use the room that live overrides leave
 * @param maxTextChars the maximum total length of the texts of live overrides, in characters
 * @param maxTtlSeconds the longest lifetime that is assumed for an unknown override: its tombstone
 *     is kept for it; not enforced on creation
 * @param maxClockDriftRatio the fraction by which a clock may run fast or slow
 */
public record OverrideLimits(
    int maxLive,
    int maxTombstones,
    int maxTextChars,
    int maxTtlSeconds,
    double maxClockDriftRatio) {
  /** 1,000 live overrides and 1,000 tombstones, 64 Ki characters, one day, 500 ppm of drift. */
  public static final OverrideLimits DEFAULTS =
      new OverrideLimits(1000, 1000, 64 << 10, 86_400, 500e-6);
}
