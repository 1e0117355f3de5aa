package mothwing.override;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The overrides that apply at one server, indexed by class and tenant so that a lookup costs the
 * same for one override as for a thousand. A snapshot: it is rebuilt whenever the overrides in
 * effect change, and is valid only until a given time, so that a process that was paused rebuilds
 * it before its next decision. Callers check {@link #isValid} before each decision.
 */
public final class EffectiveOverrides {
  /** No overrides, valid forever. */
  public static final EffectiveOverrides NONE =
      new EffectiveOverrides(List.of(), "", "", "", Long.MAX_VALUE);

  private record TrafficKey(String requestClass, String tenant) {}

  private final Map<TrafficOverride.Action, Map<TrafficKey, TrafficOverride>> byTrafficKey =
      new EnumMap<>(TrafficOverride.Action.class);
  private final Set<String> disabledFeatures = new LinkedHashSet<>();
  private final TrafficOverride drain;
  private final long validUntilMicros;

  /**
   * Selects the overrides that apply at one server.
   *
   * @param inEffect the overrides in order of precedence, as {@link OverrideTable#inEffect} returns
   *     them
   * @param server this server's name
   * @param zone its zone
   * @param hardware its hardware class
   * @param validUntilMicros the time of {@link OverrideTable#inEffectUntil}
   */
  public EffectiveOverrides(
      List<TrafficOverride> inEffect,
      String server,
      String zone,
      String hardware,
      long validUntilMicros) {
    this.validUntilMicros = validUntilMicros;
    TrafficOverride firstDrain = null;
    for (TrafficOverride candidate : inEffect) {
      if (!candidate.selector().matches(server, zone, hardware)) {
        continue;
      }
      switch (candidate.action()) {
        case DRAIN -> firstDrain = firstDrain == null ? candidate : firstDrain;
        case WITHOUT -> disabledFeatures.add(candidate.target());
        default ->
            byTrafficKey
                .computeIfAbsent(candidate.action(), unused -> new HashMap<>())
                .putIfAbsent(
                    new TrafficKey(candidate.requestClass(), candidate.tenant()), candidate);
      }
    }
    drain = firstDrain;
  }

  /**
   * Whether this snapshot is still valid.
   *
   * @param nowMicros the clock of the table
   * @return false if it has to be rebuilt before the next decision
   */
  public boolean isValid(long nowMicros) {
    return nowMicros < validUntilMicros;
  }

  /**
   * Finds the override of an action that applies to a request.
   *
   * @param action {@code REFUSE}, {@code LIMIT} or {@code DIVERT}
   * @param requestClass the class of the request
   * @param tenant the tenant of the request
   * @return the matching override of the highest precedence, or null
   */
  public TrafficOverride find(TrafficOverride.Action action, String requestClass, String tenant) {
    Map<TrafficKey, TrafficOverride> overrides = byTrafficKey.get(action);
    if (overrides == null) {
      return null;
    }
    TrafficOverride best =
        preferred(
            overrides.get(new TrafficKey(requestClass, tenant)),
            overrides.get(new TrafficKey("", tenant)));
    return preferred(best, overrides.get(new TrafficKey(requestClass, "")));
  }

  private static TrafficOverride preferred(TrafficOverride first, TrafficOverride second) {
    return first == null
            || (second != null && TrafficOverride.PRECEDENCE.compare(second, first) < 0)
        ? second
        : first;
  }

  /**
   * Finds the override that rejects a request. All attempts with the same number get the same
   * result.
   *
   * @param requestClass the class of the request
   * @param tenant the tenant of the request
   * @param requestFraction a number in [0, 1) derived from the request, the same for all its
   *     attempts
   * @return the override that rejects it, or null
   */
  public TrafficOverride refusalFor(String requestClass, String tenant, double requestFraction) {
    TrafficOverride refusal = find(TrafficOverride.Action.REFUSE, requestClass, tenant);
    return refusal != null && requestFraction < refusal.share() ? refusal : null;
  }

  /**
   * The override that drains this server, so that it accepts nothing new.
   *
   * @return the override, or null
   */
  public TrafficOverride drain() {
    return drain;
  }

  /**
   * Whether a feature of the routing policy is disabled.
   *
   * @param feature the name of the feature
   * @return true if an override disables it
   */
  public boolean isDisabled(String feature) {
    return disabledFeatures.contains(feature);
  }
}
