package mothwing.broker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.IntPredicate;

/**
 * Assigns each named entry of the settings an index that does not change while an open request
 * refers to it. A removed entry keeps its index until no request refers to it, but can no longer be
 * found by its name. The number of indexes never exceeds the largest number of entries in force and
 * removed entries still referred to, at one time.
 *
 * @param <T> the type of the entries
 */
final class StableIndex<T> {
  private final Function<T, String> nameOf;
  private final List<T> entries = new ArrayList<>();
  private final Map<String, Integer> indexByName = new HashMap<>();

  /**
   * Creates an empty index.
   *
   * @param nameOf returns the name of an entry
   */
  StableIndex(Function<T, String> nameOf) {
    this.nameOf = nameOf;
  }

  /**
   * Replaces the entries with those of new settings.
   *
   * @param current the entries, with unique names
   * @param isUsed whether an open request refers to an index
   */
  void update(List<T> current, IntPredicate isUsed) {
    indexByName.clear();
    List<T> unplaced = new ArrayList<>();
    for (T entry : current) {
      int index = previousIndexOf(nameOf.apply(entry));
      if (index >= 0) {
        put(index, entry);
      } else {
        unplaced.add(entry);
      }
    }
    int next = 0;
    for (T entry : unplaced) {
      while (next < entries.size()
          && (isUsed.test(next)
              || Objects.equals(indexByName.get(nameOf.apply(entries.get(next))), next))) {
        next++;
      }
      put(next, entry);
    }
  }

  private int previousIndexOf(String name) {
    for (int i = 0; i < entries.size(); i++) {
      if (nameOf.apply(entries.get(i)).equals(name)) {
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
    indexByName.put(nameOf.apply(entry), index);
  }

  /** The index of the entry with this name in the current settings, or null. */
  Integer indexOf(String name) {
    return indexByName.get(name);
  }

  /** Whether the current settings have no entries. */
  boolean isEmpty() {
    return indexByName.isEmpty();
  }

  /** The entries at all indexes, including removed ones. */
  List<T> entries() {
    return List.copyOf(entries);
  }
}
