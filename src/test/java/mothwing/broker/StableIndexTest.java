package mothwing.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests the index against a model that only records which indexes are in use. */
class StableIndexTest {
  @Property(seed = "1764576016", tries = 500)
  void keepsUsedIndexesAndReusesFreeOnes(
      @ForAll @Size(max = 12)
          List<@Size(min = 1, max = 5) Set<@IntRange(max = 7) Integer>> settings,
      @ForAll @Size(min = 12, max = 12) List<@IntRange(max = 255) Integer> usedBits) {
    // the first character of an entry is its name, the rest is its value
    StableIndex<String> stableIndex = new StableIndex<>(entry -> entry.substring(0, 1));
    Map<Integer, String> used = new HashMap<>();
    int maxEntries = 0;
    for (int step = 0; step < settings.size(); step++) {
      int version = step;
      List<String> entries =
          new TreeSet<>(settings.get(step)).stream().map(name -> name + " v" + version).toList();
      List<String> before = stableIndex.entries();
      stableIndex.update(entries, used::containsKey);
      maxEntries = Math.max(maxEntries, entries.size() + used.size());
      for (String entry : entries) {
        String name = entry.substring(0, 1);
        int index = stableIndex.indexOf(name);
        assertEquals(entry, stableIndex.entries().get(index));
        for (int i = 0; i < before.size(); i++) {
          if (before.get(i).startsWith(name)) {
            assertEquals(i, index, "the index of a known name changed");
          }
        }
      }
      used.forEach(
          (index, name) ->
              assertTrue(
                  stableIndex.entries().get(index).startsWith(name),
                  "an index in use was assigned to another name"));
      for (int name = 0; name < 8; name++) {
        if (!settings.get(step).contains(name)) {
          assertNull(stableIndex.indexOf("" + name));
        }
      }
      assertTrue(stableIndex.entries().size() <= maxEntries);
      used.clear();
      for (int i = 0; i < stableIndex.entries().size(); i++) {
        if ((usedBits.get(step) >> i & 1) == 1) {
          used.put(i, stableIndex.entries().get(i).substring(0, 1));
        }
      }
    }
  }
}
