package mothwing.control;

import java.util.List;

/**
 * All settings of one controller.
 *
 * @param seed seed of its random numbers
 * @param round least span between two batches of events
 * @param classes the classes of requests
 * @param tenants the tenants, possibly none
 * @param replicas servers of this kind at the start
 * @param callers callers of this kind of server at the start
 * @param worthByWork whether worth counts by work rather than by request
 * @param overShareWorth share of the worth that traffic beyond a tenant's quota keeps
 * @param freshFor span for which the answer to a read may serve others
 * @param goal the users' goal
 * @param rules the figures of the rules
 * @param dependency the shared dependency
 * @param machine the machine
 * @param signals what can be said to callers
 */
public record Settings(
    long seed,
    long round,
    List<RequestClass> classes,
    List<Tenant> tenants,
    int replicas,
    int callers,
    boolean worthByWork,
    double overShareWorth,
    long freshFor,
    Goal goal,
    Rules rules,
    Dependency dependency,
    Machine machine,
    Signals signals) {}
