package mothwing.control;

/**
 * The shared dependency.
 *
 * @param concurrencyQuota this server's part of the calls it survives, as a mean number in hand; 0
 *     for no dependency
 * @param window span over which calls are averaged
 * @param abandonedCallDuration span for which a given-up call may stay in its hands
 */
public record Dependency(double concurrencyQuota, long window, long abandonedCallDuration) {}
