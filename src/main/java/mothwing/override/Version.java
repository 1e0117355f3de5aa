package mothwing.override;

import java.util.Comparator;

/**
 * Where an override was made: higher stamps win over lower ones of the same id, and no two are
 * alike.
 *
 * @param start the number of the origin's start, forced on its disk before it says a word
 * @param origin the origin's name
 * @param count the number of the override in that start
 */
public record Version(long start, String origin, long count) implements Comparable<Version> {
  private static final Comparator<Version> ORDER =
      Comparator.comparingLong(Version::start)
          .thenComparing(Version::origin)
          .thenComparingLong(Version::count);

  @Override
  public int compareTo(Version other) {
    return ORDER.compare(this, other);
  }
}
