package mothwing.override;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the overrides that act come to at one server, looked up by class and tenant: a value made
 * anew whenever that changes, so that a decision costs the same with one as with a thousand. It
 * holds until a time; who stood still makes a new one first.
 */
public final class EffectiveOverrides {
  /** Nothing is overridden, whenever. */
  public static final EffectiveOverrides NONE =
      new EffectiveOverrides(List.of(), "", "", "", Long.MAX_VALUE);

  private record About(String kind, String tenant) {}

  private final Map<TrafficOverride.Action, Map<About, TrafficOverride>> table =
      new EnumMap<>(TrafficOverride.Action.class);
  private final Set<String> without = new LinkedHashSet<>();
  private final TrafficOverride drain;
  private final long until;

  /**
   * Makes it.
   *
   * @param acting what acts, the one that wins first, as {@link OverrideTable#inEffect} gives it
   * @param server this server's name
   * @param zone its zone
   * @param hardware its hardware class
   * @param until until when it holds, by {@link OverrideTable#inEffectUntil}
   */
  public EffectiveOverrides(
      List<TrafficOverride> acting, String server, String zone, String hardware, long until) {
    this.until = until;
    TrafficOverride away = null;
    for (TrafficOverride one : acting) {
      if (!one.selector().matches(server, zone, hardware)) {
        continue;
      }
      switch (one.action()) {
        case DRAIN -> away = away == null ? one : away;
        case WITHOUT -> without.add(one.target());
        default ->
            table
                .computeIfAbsent(one.action(), none -> new HashMap<>())
                .putIfAbsent(new About(one.requestClass(), one.tenant()), one);
      }
    }
    drain = away;
  }

  /**
   * Whether it still holds.
   *
   * @param now the clock of the book
   * @return false once it has to be made anew before anything is decided by it
   */
  public boolean isValid(long now) {
    return now < until;
  }

  /**
   * What a request is subject to.
   *
   * @param what refuse, limit or divert
   * @param kind its class
   * @param tenant its tenant
   * @return the override that wins, or null
   */
  public TrafficOverride find(TrafficOverride.Action what, String kind, String tenant) {
    Map<About, TrafficOverride> all = table.get(what);
    if (all == null) {
      return null;
    }
    TrafficOverride best = first(all.get(new About(kind, tenant)), all.get(new About("", tenant)));
    return first(best, all.get(new About(kind, "")));
  }

  private static TrafficOverride first(TrafficOverride one, TrafficOverride other) {
    return one == null || (other != null && TrafficOverride.PRECEDENCE.compare(other, one) < 0)
        ? other
        : one;
  }

  /**
   * Whether a request is to be refused: alike for all tries of one draw.
   *
   * @param kind its class
   * @param tenant its tenant
   * @param draw a number from 0 to under 1 that belongs to the request
   * @return the override that says so, or null
   */
  public TrafficOverride refusalFor(String kind, String tenant, double draw) {
    TrafficOverride one = find(TrafficOverride.Action.REFUSE, kind, tenant);
    return one != null && draw < one.share() ? one : null;
  }

  /**
   * Whether this server takes nothing new.
   *
   * @return the override that says so, or null
   */
  public TrafficOverride drain() {
    return drain;
  }

  /**
   * Whether a feature of the routing policy is left out.
   *
   * @param feature its name
   * @return true if so
   */
  public boolean isDisabled(String feature) {
    return without.contains(feature);
  }
}
