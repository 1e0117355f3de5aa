package mothwing.override;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What overrides come to, and the bounds of the book that has them. */
class EffectiveOverridesTest {
  private static final long SECOND = 1_000_000;
  private static final TrafficOverride.Action[] ABOUT = {
    TrafficOverride.Action.REFUSE, TrafficOverride.Action.LIMIT
  };

  private static TrafficOverride made(
      int number,
      TrafficOverride.Action what,
      String kind,
      String tenant,
      int priority,
      TrafficOverride.Selector on) {
    return new TrafficOverride(
        "o" + number,
        new Version(1, "n" + number % 3, number),
        what,
        kind,
        tenant,
        1,
        what == TrafficOverride.Action.WITHOUT ? "hedge" : "",
        on,
        60,
        priority,
        false,
        "why",
        "who");
  }

  private static String some(Random random, String... all) {
    return all[random.nextInt(all.length)];
  }

  /**
   * Guards against a look-up that finds another one than the ranking of all that match, in whatever
   * order they came.
   */
  @Property(seed = "1764576031", tries = 300)
  void theLookUpFindsTheOneThatRanksFirst(@ForAll int seed) {
    Random random = new Random(seed);
    OverrideTable book = new OverrideTable(OverrideLimits.DEFAULTS);
    List<TrafficOverride> all = new ArrayList<>();
    for (int i = 0; i < 1 + random.nextInt(30); i++) {
      String kind = some(random, "", "look", "order");
      String tenant = kind.isEmpty() ? some(random, "a", "b") : some(random, "", "a", "b");
      TrafficOverride.Selector on =
          random.nextBoolean()
              ? TrafficOverride.Selector.ALL
              : new TrafficOverride.Selector(
                  Set.of(some(random, "n1", "n2")), Set.of(some(random, "one", "two")), Set.of());
      TrafficOverride one = made(i, ABOUT[random.nextInt(2)], kind, tenant, random.nextInt(3), on);
      all.add(one);
      assertEquals(OverrideTable.UpdateResult.APPLIED, book.create(5, one));
    }
    EffectiveOverrides effect =
        new EffectiveOverrides(book.inEffect(6), "n1", "one", "rack", book.inEffectUntil(6));
    for (TrafficOverride.Action what : ABOUT) {
      for (String kind : List.of("look", "order", "save")) {
        for (String tenant : List.of("a", "b", "c", "")) {
          TrafficOverride wanted =
              all.stream()
                  .filter(
                      one ->
                          one.action() == what
                              && one.selector().matches("n1", "one", "rack")
                              && (one.requestClass().isEmpty() || one.requestClass().equals(kind))
                              && (one.tenant().isEmpty() || one.tenant().equals(tenant)))
                  .min(TrafficOverride.PRECEDENCE)
                  .orElse(null);
          assertEquals(wanted, effect.find(what, kind, tenant));
        }
      }
    }
    assertTrue(effect.isValid(59 * SECOND));
    assertFalse(effect.isValid(60 * SECOND + 5));
  }

  @Example
  void drainsAndLeavesOutWhereItIsToHold() {
    TrafficOverride.Selector rooms =
        new TrafficOverride.Selector(Set.of(), Set.of("one"), Set.of("rack"));
    List<TrafficOverride> all =
        List.of(
            made(1, TrafficOverride.Action.DRAIN, "", "", 0, rooms),
            made(2, TrafficOverride.Action.WITHOUT, "", "", 0, rooms));
    EffectiveOverrides here = new EffectiveOverrides(all, "n1", "one", "rack", Long.MAX_VALUE);
    EffectiveOverrides there = new EffectiveOverrides(all, "n1", "one", "till-box", Long.MAX_VALUE);
    assertEquals("o1", here.drain().id());
    assertTrue(here.isDisabled("hedge") && !here.isDisabled("spill"));
    assertEquals(null, there.drain());
    assertFalse(there.isDisabled("hedge"));
    assertEquals(null, EffectiveOverrides.NONE.refusalFor("look", "a", 0));
  }

  /**
   * Guards against a table that grows without an end, and against a live one that cannot be taken
   * back as it is full.
   */
  @Example
  void keepsToItsBoundsAndCanAlwaysTakeBack() {
    OverrideLimits few = new OverrideLimits(3, 2, 100, 60, 0);
    OverrideTable book = new OverrideTable(few);
    for (int i = 0; i < 3; i++) {
      assertEquals(
          OverrideTable.UpdateResult.APPLIED,
          book.create(
              1,
              made(i, TrafficOverride.Action.REFUSE, "look", "", 0, TrafficOverride.Selector.ALL)));
    }
    assertEquals(
        OverrideTable.UpdateResult.FULL,
        book.create(
            1,
            made(3, TrafficOverride.Action.REFUSE, "look", "", 0, TrafficOverride.Selector.ALL)));
    for (int i = 0; i < 3; i++) {
      assertEquals(OverrideTable.UpdateResult.APPLIED, book.revoke(2, "o" + i));
    }
    assertEquals(
        OverrideTable.UpdateResult.IGNORED,
        book.create(
            3,
            made(0, TrafficOverride.Action.REFUSE, "look", "", 0, TrafficOverride.Selector.ALL)));
    assertEquals(OverrideTable.UpdateResult.APPLIED, book.revoke(3, "x1"));
    assertEquals(OverrideTable.UpdateResult.APPLIED, book.revoke(3, "x2"));
    assertEquals(OverrideTable.UpdateResult.FULL, book.revoke(3, "x3"));
    assertEquals(OverrideStatus.REVOKED, book.status(60 * SECOND, "o1"));
    assertEquals(null, book.status(60 * SECOND + 3, "o1"), "remembered for its lifetime");
    assertThrows(
        IllegalArgumentException.class,
        () -> made(9, TrafficOverride.Action.REFUSE, "", "", 0, TrafficOverride.Selector.ALL));
  }
}
