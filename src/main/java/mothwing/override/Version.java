package mothwing.override;

import java.util.Comparator;

/**
 * Where an override was made: higher stamps win over lower ones of the same id, and no two are
 * alike.
 *
 * @param epoch the number of the origin's start, forced on its disk before it says a word
 * @param origin the origin's name
 * @param sequence the number of the override in that start
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
