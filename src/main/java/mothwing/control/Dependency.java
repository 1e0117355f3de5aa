package mothwing.control;

/**
 * The dependency that all servers share.
 *
 * @param concurrencyQuota this server's quota of the calls that the dependency survives, as a mean
 *     number of calls in flight; 0 where there is no dependency
 * @param window microseconds over which the calls are averaged
 * @param abandonedCallDuration microseconds for which the dependency may go on with a call that was
 *     abandoned
 */
public record Dependency(double concurrencyQuota, long window, long abandonedCallDuration) {}
