package mothwing.control;

import java.util.List;

/**
 * The settings of one controller.
 *
 * @param seed seed of its random numbers; not used by a deterministic controller
 * @param batchInterval minimum time between two batches of events, in microseconds
 * @param classes the classes of requests
 * @param tenants the tenants, possibly none
 * @param replicas number of servers of this kind at the start
 * @param callers number of callers of this kind of server at the start
 * @param weightByWork whether priority weights apply per core time instead of per request
 * @param overQuotaWeightRatio share of the priority weight, from 0 to 1, that requests beyond their
 *     tenant's quota keep
 * @param cacheLifetime microseconds for which the answer to a read may serve other requests; 0 if
 *     answers are not cached
 * @param objectiveWeights the weights of the service objective
 * @param limits the limits that the server must keep
 * @param dependency the dependency that all servers share
 * @param machine the machine that the server runs on
 * @param signals the signals that callers understand
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
    ObjectiveWeights objectiveWeights,
    ServerLimits limits,
    Dependency dependency,
    Machine machine,
    Signals signals) {}
