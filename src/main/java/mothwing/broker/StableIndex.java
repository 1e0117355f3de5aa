package mothwing.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.IntPredicate;

/**
 * Named parts of the settings at places that do not move while anything refers to them. A part that
 * is dropped keeps its place until nothing does, and its name is unknown at once; there are never
 * more places than parts and uses at the same time.
 *
 * @param <T> the parts
 */
final class StableIndex<T> {
  private final Function<T, String> name;
  private final List<T> entries = new ArrayList<>();
  private final Map<String, Integer> known = new HashMap<>();

  /**
   * Makes places for parts.
   *
   * @param name gives a part's name
   */
  StableIndex(Function<T, String> name) {
    this.name = name;
  }

  /**
   * Takes the parts of new settings.
   *
   * @param parts the parts, each name once
   * @param used whether anything refers to a place
   */
  void update(List<T> parts, IntPredicate used) {
    known.clear();
    List<T> rest = new ArrayList<>();
    for (T part : parts) {
      int place = previousIndexOf(name.apply(part));
      if (place >= 0) {
        put(place, part);
      } else {
        rest.add(part);
      }
    }
    int next = 0;
    for (T part : rest) {
      while (next < entries.size()
          && (used.test(next) || Objects.equals(known.get(name.apply(entries.get(next))), next))) {
        next++;
      }
      put(next, part);
    }
  }

  private int previousIndexOf(String wanted) {
    for (int i = 0; i < entries.size(); i++) {
      if (name.apply(entries.get(i)).equals(wanted)) {
        return i;
      }
    }
    return -1;
  }

  private void put(int place, T part) {
    if (place == entries.size()) {
      entries.add(part);
    } else {
      entries.set(place, part);
    }
    known.put(name.apply(part), place);
  }

  /** The place of a name that the settings have now, or null. */
  Integer indexOf(String wanted) {
    return known.get(wanted);
  }

  /** Whether the settings have no parts of this kind. */
  boolean isEmpty() {
    return known.isEmpty();
  }

  /** What stands at all places, dropped parts included. */
  List<T> entries() {
    return List.copyOf(entries);
  }
}
