package mothwing.override;

import java.util.Comparator;
import java.util.Locale;
import java.util.Set;

/**
 * A temporary change of what a fleet does with some of its traffic. Immutable; how old it is, each
 * holder knows for itself.
 *
 * @param id its name, 1 to 63 characters
 * @param version where it was made
 * @param action what it does
 * @param requestClass the class that it is about, or an empty word for all
 * @param tenant the tenant that it is about, or an empty word for all
 * @param share the share of that traffic, 0 to 1
 * @param target the zone that a diverted request goes to, or the feature that is left out; else an
 *     empty word
 * @param selector the servers that it holds at
 * @param ttlSeconds its lifetime, above 0
 * @param priority the higher one wins where two are about the same
 * @param keepUnconfirmed whether a server that has it from its disk alone goes by it
 * @param reason why it was made
 * @param author who made it
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
   * Which of two that are about the same wins, the first one: priority, then narrowness, then
   * version, then id.
   */
  public static final Comparator<TrafficOverride> PRECEDENCE =
      Comparator.comparingInt(TrafficOverride::priority)
          .thenComparingInt(TrafficOverride::narrowness)
          .thenComparing(TrafficOverride::version)
          .thenComparing(TrafficOverride::id)
          .reversed();

  private static final int MOST_NAME = 63;

  /** What an override does. */
  public enum Action {
    /** Refuses a share of a class or tenant at read. */
    REFUSE,
    /** Sends gateways away: nothing new is taken. */
    DRAIN,
    /** Holds a class or tenant to a share. */
    LIMIT,
    /** Sends a class or tenant to a zone. */
    DIVERT,
    /** Leaves a feature of the routing policy out. */
    WITHOUT
  }

  /**
   * Servers: all that are in each of the sets that is not empty.
   *
   * @param servers names of servers
   * @param zones names of zones
   * @param hardware names of hardware classes
   */
  public record Selector(Set<String> servers, Set<String> zones, Set<String> hardware) {
    /** All servers. */
    public static final Selector ALL = new Selector(Set.of(), Set.of(), Set.of());

    /** Copies the sets. */
    public Selector {
      servers = Set.copyOf(servers);
      zones = Set.copyOf(zones);
      hardware = Set.copyOf(hardware);
    }

    /**
     * Whether a server is among them.
     *
     * @param name its name
     * @param zone its zone
     * @param machine its hardware class
     * @return true if so
     */
    public boolean matches(String name, String zone, String machine) {
      return (servers.isEmpty() || servers.contains(name))
          && (zones.isEmpty() || zones.contains(zone))
          && (hardware.isEmpty() || hardware.contains(machine));
    }

    private int narrowness() {
      return (servers.isEmpty() ? 0 : 4) + (hardware.isEmpty() ? 0 : 2) + (zones.isEmpty() ? 0 : 1);
    }
  }

  /** Checks it. */
  public TrafficOverride {
    if (id.isEmpty() || id.length() > MOST_NAME) {
      throw new IllegalArgumentException("field id: 1 to " + MOST_NAME + " characters");
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
          "field class: " + action.name().toLowerCase(Locale.ROOT) + " wants a class or a tenant");
    }
    if ((action == Action.DIVERT || action == Action.WITHOUT) && target.isEmpty()) {
      throw new IllegalArgumentException(
          "field " + (action == Action.DIVERT ? "zone" : "feature") + ": required");
    }
  }

  private int narrowness() {
    return (tenant.isEmpty() ? 0 : 16) + (requestClass.isEmpty() ? 0 : 8) + selector.narrowness();
  }

  /** Characters of its text, as they count against the bound of all. */
  int text() {
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
   * Its lifetime.
   *
   * @return microseconds
   */
  public long ttlMicros() {
    return ttlSeconds * 1_000_000L;
  }
}
