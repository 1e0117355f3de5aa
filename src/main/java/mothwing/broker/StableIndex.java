package mothwing.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.IntPredicate;

/**
 * Gives named entries of the settings an index that does not change while an open request refers to
 * it. A removed entry keeps its index until no request refers to it, and its name is unknown at
 * once; there are never more indexes than entries and references at the same time.
 *
 * @param <T> the type of the entries
 */
final class StableIndex<T> {
  private final Function<T, String> name;
  private final List<T> entries = new ArrayList<>();
  private final Map<String, Integer> known = new HashMap<>();

  /**
   * Makes an empty index.
   *
   * @param name gives the name of an entry
   */
  StableIndex(Function<T, String> name) {
    this.name = name;
  }

  /**
   * Takes the entries of new settings.
   *
   * @param added the entries, each name once
   * @param used whether an open request refers to an index
   */
  void update(List<T> added, IntPredicate used) {
    known.clear();
    List<T> unplaced = new ArrayList<>();
    for (T entry : added) {
      int index = previousIndexOf(name.apply(entry));
      if (index >= 0) {
        put(index, entry);
      } else {
        unplaced.add(entry);
      }
    }
    int next = 0;
    for (T entry : unplaced) {
      while (next < entries.size()
          && (used.test(next) || Objects.equals(known.get(name.apply(entries.get(next))), next))) {
        next++;
      }
      put(next, entry);
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

  private void put(int index, T entry) {
    if (index == entries.size()) {
      entries.add(entry);
    } else {
      entries.set(index, entry);
    }
    known.put(name.apply(entry), index);
  }

  /** The index of a name in the current settings, or null. */
  Integer indexOf(String wanted) {
    return known.get(wanted);
  }

  /** Whether the current settings have no entries. */
  boolean isEmpty() {
    return known.isEmpty();
  }

  /** The entries at all indexes, removed ones included. */
  List<T> entries() {
    return List.copyOf(entries);
  }
}
