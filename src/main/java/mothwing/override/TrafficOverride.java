package mothwing.override;

import java.util.Comparator;
import java.util.Locale;
import java.util.Set;

/**
 * A temporary change of how a fleet handles some of its traffic. Immutable; its age is tracked by
 * each replica.
 *
 * @param id its id, 1 to 63 characters
 * @param version its version, assigned by the server that created it
 * @param action its effect
 * @param requestClass the class that it applies to, or an empty string for all
 * @param tenant the tenant that it applies to, or an empty string for all
 * @param share the share of that traffic that {@code REFUSE} rejects or {@code LIMIT} allows, 0 to
 *     1
 * @param target the zone to which requests are diverted, or the feature that is disabled; else an
 *     empty string
 * @param selector the servers that it applies at
 * @param ttlSeconds its lifetime, above 0
 * @param priority of two overrides for the same traffic, the one with the higher priority wins
 * @param keepUnconfirmed whether it is in effect while it is unconfirmed
 * @param reason the reason for it, for operators
 * @param author its creator, for operators
 */
public record TrafficOverride(
    String id,
    Version version,
    Action action,
    String requestClass,
    String tenant,
    double share,
    String target,
    Selector selector,
    int ttlSeconds,
    int priority,
    boolean keepUnconfirmed,
    String reason,
    String author) {
  /**
   * Orders overrides that apply to the same traffic, the winner first: by priority, then
   * specificity, then version, then id, each descending.
   */
  public static final Comparator<TrafficOverride> PRECEDENCE =
      Comparator.comparingInt(TrafficOverride::priority)
          .thenComparingInt(TrafficOverride::specificity)
          .thenComparing(TrafficOverride::version)
          .thenComparing(TrafficOverride::id)
          .reversed();

  private static final int MAX_ID_CHARS = 63;

  /** The effect of an override. */
  public enum Action {
    /** Rejects a share of the requests of a class or tenant as they are read. */
    REFUSE,
    /** Accepts nothing new, and sends gateways to other servers. */
    DRAIN,
    /** Limits a class or tenant to a share. */
    LIMIT,
    /** Diverts a class or tenant to a zone. */
    DIVERT,
    /** Disables a feature of the routing policy. */
    WITHOUT
  }

  /**
   * Selects servers. An empty set matches every server; all three sets have to match.
   *
   * @param servers names of servers
   * @param zones names of zones
   * @param hardware names of hardware classes
   */
  public record Selector(Set<String> servers, Set<String> zones, Set<String> hardware) {
    /** Selects all servers. */
    public static final Selector ALL = new Selector(Set.of(), Set.of(), Set.of());

    /** Copies the sets. */
    public Selector {
      servers = Set.copyOf(servers);
      zones = Set.copyOf(zones);
      hardware = Set.copyOf(hardware);
    }

    /**
     * Whether a server is selected.
     *
     * @param name its name
     * @param zone its zone
     * @param hardwareClass its hardware class
     * @return true if each set that is not empty contains it
     */
    public boolean matches(String name, String zone, String hardwareClass) {
      return (servers.isEmpty() || servers.contains(name))
          && (zones.isEmpty() || zones.contains(zone))
          && (hardware.isEmpty() || hardware.contains(hardwareClass));
    }

    private int specificity() {
      return (servers.isEmpty() ? 0 : 4) + (hardware.isEmpty() ? 0 : 2) + (zones.isEmpty() ? 0 : 1);
    }
  }

  /** Validates the components. */
  public TrafficOverride {
    if (id.isEmpty() || id.length() > MAX_ID_CHARS) {
      throw new IllegalArgumentException("field id: 1 to " + MAX_ID_CHARS + " characters");
    }
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException("field share: a number from 0 to 1");
    }
    if (ttlSeconds <= 0) {
      throw new IllegalArgumentException("field seconds: a whole number above 0");
    }
    if ((action == Action.REFUSE || action == Action.LIMIT || action == Action.DIVERT)
        && requestClass.isEmpty()
        && tenant.isEmpty()) {
      throw new IllegalArgumentException(
          "field class: "
              + action.name().toLowerCase(Locale.ROOT)
              + " requires a class or a tenant");
    }
    if ((action == Action.DIVERT || action == Action.WITHOUT) && target.isEmpty()) {
      throw new IllegalArgumentException(
          "field " + (action == Action.DIVERT ? "zone" : "feature") + ": required");
    }
  }

  private int specificity() {
    return (tenant.isEmpty() ? 0 : 16) + (requestClass.isEmpty() ? 0 : 8) + selector.specificity();
  }

  /** The characters of its texts, as they count towards {@link OverrideLimits#maxTextChars}. */
  int textChars() {
    return id.length()
        + requestClass.length()
        + tenant.length()
        + target.length()
        + reason.length()
        + author.length()
        + selector.servers().stream().mapToInt(String::length).sum()
        + selector.zones().stream().mapToInt(String::length).sum()
        + selector.hardware().stream().mapToInt(String::length).sum();
  }

  /**
   * The lifetime in microseconds.
   *
   * @return the lifetime
   */
  public long ttlMicros() {
    return ttlSeconds * 1_000_000L;
  }
}
