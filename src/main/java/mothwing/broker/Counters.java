package mothwing.broker;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of what was taken in, sent and answered, by name. Names come from the program alone, so
 * they are few.
 */
public final class Counters {
  private final Map<String, Long> counts = new HashMap<>();

  /** Makes counters that all stand at 0. */
  public Counters() {}

  /**
   * Adds one.
   *
   * @param name what is counted
   */
  public void add(String name) {
    add(name, 1);
  }

  /**
   * Adds some.
   *
   * @param name what is counted
   * @param more how many
   */
  public void add(String name, long more) {
    counts.merge(name, more, Long::sum);
  }

  /**
   * How many were counted.
   *
   * @param name what was counted
   * @return the count, 0 where there was none
   */
  public long get(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /** All counts as {@code name=value} words, in order of their names. */
  @Override
  public String toString() {
    StringBuilder all = new StringBuilder();
    new TreeMap<>(counts)
        .forEach(
            (name, count) ->
                all.append(all.isEmpty() ? "" : " ").append(name).append('=').append(count));
    return all.toString();
  }
}
