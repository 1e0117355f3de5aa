package mothwing.control;

/**
 * A tenant of the service.
 *
 * @param name its name, unique among the tenants
 * @param requestsPerSecond its quota over all servers, in requests per second
 */
public record Tenant(String name, double requestsPerSecond) {}
