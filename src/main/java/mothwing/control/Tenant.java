package mothwing.control;

/**
 * One that shares the fleet with others.
 *
 * @param name its name
 * @param requestsPerSecond requests a second over the whole fleet within its share
 */
public record Tenant(String name, double requestsPerSecond) {}
