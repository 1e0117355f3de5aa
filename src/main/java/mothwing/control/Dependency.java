package mothwing.control;

/**
 * The dependency that all servers share.
 *
 * @param concurrencyQuota this server's quota of the calls that the dependency tolerates, as a mean
 *     number of calls in flight; 0 if there is no dependency
 * @param window microseconds over which the calls in flight are averaged
 * @param abandonedCallDuration microseconds for which the dependency may continue a call that was
 *     abandoned
 */
public record Dependency(double concurrencyQuota, long window, long abandonedCallDuration) {}
