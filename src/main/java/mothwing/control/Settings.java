package mothwing.control;

import java.util.List;

/**
 * All settings of one controller.
 *
 * @param seed seed of its random numbers
 * @param batchInterval least span between two batches of events
 * @param classes the classes of requests
 * @param tenants the tenants, possibly none
 * @param replicas servers of this kind at the start
 * @param callers callers of this kind of server at the start
 * @param weightByWork whether worth counts by work rather than by request
 * @param overQuotaWeightRatio share of the worth that traffic beyond a tenant's quota keeps
 * @param cacheLifetime span for which the answer to a read may serve others
 * @param goal the users' goal
 * @param rules the figures of the rules
 * @param dependency the shared dependency
 * @param machine the machine
 * @param signals what can be said to callers
 */
public record Settings(
    long seed,
    long batchInterval,
    List<RequestClass> classes,
    List<Tenant> tenants,
    int replicas,
    int callers,
    boolean weightByWork,
    double overQuotaWeightRatio,
    long cacheLifetime,
    Goal goal,
    Rules rules,
    Dependency dependency,
    Machine machine,
    Signals signals) {}
