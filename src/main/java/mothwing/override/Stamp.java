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
public record Stamp(long start, String origin, long count) implements Comparable<Stamp> {
  private static final Comparator<Stamp> ORDER =
      Comparator.comparingLong(Stamp::start)
          .thenComparing(Stamp::origin)
          .thenComparingLong(Stamp::count);

  @Override
  public int compareTo(Stamp other) {
    return ORDER.compare(this, other);
  }
}
