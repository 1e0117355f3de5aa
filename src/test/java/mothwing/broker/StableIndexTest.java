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

/** Slots against a model that only knows who refers to which name. */
class StableIndexTest {
  @Property(seed = "1764576016", tries = 500)
  void whatIsReferredToDoesNotMoveAndRoomIsUsedAgain(
      @ForAll @Size(max = 12)
          List<@Size(min = 1, max = 5) Set<@IntRange(max = 7) Integer>> settings,
      @ForAll @Size(min = 12, max = 12) List<@IntRange(max = 255) Integer> users) {
    StableIndex<String> places =
        new StableIndex<>(part -> part.substring(0, 1)); // the rest of a part is its value
    Map<Integer, String> used = new HashMap<>();
    int most = 0;
    for (int step = 0; step < settings.size(); step++) {
      int version = step;
      List<String> parts =
          new TreeSet<>(settings.get(step)).stream().map(one -> one + " v" + version).toList();
      List<String> before = places.entries();
      places.update(parts, used::containsKey);
      most = Math.max(most, parts.size() + used.size());
      for (String part : parts) {
        String name = part.substring(0, 1);
        int place = places.indexOf(name);
        assertEquals(part, places.entries().get(place));
        for (int i = 0; i < before.size(); i++) {
          if (before.get(i).startsWith(name)) {
            assertEquals(i, place, "a name moved");
          }
        }
      }
      used.forEach(
          (place, name) ->
              assertTrue(places.entries().get(place).startsWith(name), "a used place was taken"));
      for (int name = 0; name < 8; name++) {
        if (!settings.get(step).contains(name)) {
          assertNull(places.indexOf("" + name));
        }
      }
      assertTrue(places.entries().size() <= most);
      used.clear();
      for (int i = 0; i < places.entries().size(); i++) {
        if ((users.get(step) >> i & 1) == 1) {
          used.put(i, places.entries().get(i).substring(0, 1));
        }
      }
    }
  }
}
