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

/** The lookup of overrides in effect, and the limits of the table that holds them. */
class EffectiveOverridesTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final TrafficOverride.Action[] LOOKUP_ACTIONS = {
    TrafficOverride.Action.REFUSE, TrafficOverride.Action.LIMIT
  };

  private static TrafficOverride newOverride(
      int number,
      TrafficOverride.Action action,
      String requestClass,
      String tenant,
      int priority,
      TrafficOverride.Selector selector) {
    return new TrafficOverride(
        "o" + number,
        new Version(1, "n" + number % 3, number),
        action,
        requestClass,
        tenant,
        1,
        action == TrafficOverride.Action.WITHOUT ? "hedge" : "",
        selector,
        60,
        priority,
        false,
        "reason",
        "author");
  }

  private static String choose(Random random, String... choices) {
    return choices[random.nextInt(choices.length)];
  }

  /**
   * Guards against a lookup that does not return the matching override of the highest precedence,
   * in whatever order they were added.
   */
  @Property(seed = "1764576031", tries = 300)
  void findsMatchingOverrideOfHighestPrecedence(@ForAll int seed) {
    Random random = new Random(seed);
    OverrideTable table = new OverrideTable(OverrideLimits.DEFAULTS);
    List<TrafficOverride> overrides = new ArrayList<>();
    for (int i = 0; i < 1 + random.nextInt(30); i++) {
      String requestClass = choose(random, "", "look", "order");
      String tenant =
          requestClass.isEmpty() ? choose(random, "a", "b") : choose(random, "", "a", "b");
      TrafficOverride.Selector selector =
          random.nextBoolean()
              ? TrafficOverride.Selector.ALL
              : new TrafficOverride.Selector(
                  Set.of(choose(random, "n1", "n2")),
                  Set.of(choose(random, "one", "two")),
                  Set.of());
      TrafficOverride created =
          newOverride(
              i,
              LOOKUP_ACTIONS[random.nextInt(2)],
              requestClass,
              tenant,
              random.nextInt(3),
              selector);
      overrides.add(created);
      assertEquals(OverrideTable.UpdateResult.APPLIED, table.create(5, created));
    }
    EffectiveOverrides effective =
        new EffectiveOverrides(table.inEffect(6), "n1", "one", "rack", table.inEffectUntil(6));
    for (TrafficOverride.Action action : LOOKUP_ACTIONS) {
      for (String requestClass : List.of("look", "order", "save")) {
        for (String tenant : List.of("a", "b", "c", "")) {
          TrafficOverride expected =
              overrides.stream()
                  .filter(
                      candidate ->
                          candidate.action() == action
                              && candidate.selector().matches("n1", "one", "rack")
                              && (candidate.requestClass().isEmpty()
                                  || candidate.requestClass().equals(requestClass))
                              && (candidate.tenant().isEmpty()
                                  || candidate.tenant().equals(tenant)))
                  .min(TrafficOverride.PRECEDENCE)
                  .orElse(null);
          assertEquals(expected, effective.find(action, requestClass, tenant));
        }
      }
    }
    assertTrue(effective.isValid(59 * SECOND_MICROS));
    assertFalse(effective.isValid(60 * SECOND_MICROS + 5));
  }

  @Example
  void drainsAndDisablesFeaturesOnSelectedServersOnly() {
    TrafficOverride.Selector racksInZoneOne =
        new TrafficOverride.Selector(Set.of(), Set.of("one"), Set.of("rack"));
    List<TrafficOverride> overrides =
        List.of(
            newOverride(1, TrafficOverride.Action.DRAIN, "", "", 0, racksInZoneOne),
            newOverride(2, TrafficOverride.Action.WITHOUT, "", "", 0, racksInZoneOne));
    EffectiveOverrides selected =
        new EffectiveOverrides(overrides, "n1", "one", "rack", Long.MAX_VALUE);
    EffectiveOverrides unselected =
        new EffectiveOverrides(overrides, "n1", "one", "till-box", Long.MAX_VALUE);
    assertEquals("o1", selected.drain().id());
    assertTrue(selected.isDisabled("hedge") && !selected.isDisabled("spill"));
    assertEquals(null, unselected.drain());
    assertFalse(unselected.isDisabled("hedge"));
    assertEquals(null, EffectiveOverrides.NONE.refusalFor("look", "a", 0));
  }

  /**
   * Guards against a table that grows without bound, and against an active override that cannot be
   * revoked because the table is full.
   */
  @Example
  void enforcesLimitsAndStillRevokesWhenFull() {
    OverrideLimits limits = new OverrideLimits(3, 2, 100, 60, 0);
    OverrideTable table = new OverrideTable(limits);
    for (int i = 0; i < 3; i++) {
      assertEquals(
          OverrideTable.UpdateResult.APPLIED,
          table.create(
              1,
              newOverride(
                  i, TrafficOverride.Action.REFUSE, "look", "", 0, TrafficOverride.Selector.ALL)));
    }
    assertEquals(
        OverrideTable.UpdateResult.FULL,
        table.create(
            1,
            newOverride(
                3, TrafficOverride.Action.REFUSE, "look", "", 0, TrafficOverride.Selector.ALL)));
    for (int i = 0; i < 3; i++) {
      assertEquals(OverrideTable.UpdateResult.APPLIED, table.revoke(2, "o" + i));
    }
    assertEquals(
        OverrideTable.UpdateResult.IGNORED,
        table.create(
            3,
            newOverride(
                0, TrafficOverride.Action.REFUSE, "look", "", 0, TrafficOverride.Selector.ALL)));
    assertEquals(OverrideTable.UpdateResult.APPLIED, table.revoke(3, "x1"));
    assertEquals(OverrideTable.UpdateResult.APPLIED, table.revoke(3, "x2"));
    assertEquals(OverrideTable.UpdateResult.FULL, table.revoke(3, "x3"));
    assertEquals(OverrideStatus.REVOKED, table.status(60 * SECOND_MICROS, "o1"));
    assertEquals(
        null, table.status(60 * SECOND_MICROS + 3, "o1"), "a tombstone is kept for the lifetime");
    assertThrows(
        IllegalArgumentException.class,
        () ->
            newOverride(9, TrafficOverride.Action.REFUSE, "", "", 0, TrafficOverride.Selector.ALL));
  }
}
