package mothwing.broker;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Named event counters. The program defines all names, so their number is bounded. */
public final class Counters {
  private final Map<String, Long> counts = new HashMap<>();

  /** Creates an empty set of counters. */
  public Counters() {}

  /**
   * Increments a counter by one.
   *
   * @param name the name of the counter
   */
  public void add(String name) {
    add(name, 1);
  }

  /**
   * Increments a counter.
   *
   * @param name the name of the counter
   * @param amount the increment
   */
  public void add(String name, long amount) {
    counts.merge(name, amount, Long::sum);
  }

  /**
   * Returns the value of a counter.
   *
   * @param name the name of the counter
   * @return the value, 0 if nothing was counted
   */
  public long get(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /** All counters as space-separated {@code name=value} pairs, sorted by name. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    new TreeMap<>(counts)
        .forEach(
            (name, count) ->
                text.append(text.isEmpty() ? "" : " ").append(name).append('=').append(count));
    return text.toString();
  }
}
