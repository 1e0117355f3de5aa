package mothwing.override;

import java.util.Comparator;

/**
 * The version of an override: of two with the same id the higher one wins. Versions are unique.
 *
 * @param epoch the number of the origin's start, which is persisted before the origin sends
 *     anything
 * @param origin the name of the server that created the override
 * @param sequence the number of the override within that epoch
 */
public record Version(long epoch, String origin, long sequence) implements Comparable<Version> {
  private static final Comparator<Version> ORDER =
      Comparator.comparingLong(Version::epoch)
          .thenComparing(Version::origin)
          .thenComparingLong(Version::sequence);

  @Override
  public int compareTo(Version other) {
    return ORDER.compare(this, other);
  }
}
