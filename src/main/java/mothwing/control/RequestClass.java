package mothwing.control;

/**
 * A class of requests.
 *
 * @param name its name
 * @param latencyObjective span from the first try within which an answer earns full worth
 * @param deadline span that a client waits in all
 * @param priorityWeight worth of one request
 * @param lateWeightRatio share of the worth earned between aim and deadline
 * @param idempotency whether it may run again
 * @param idempotencyWindow span after its arrival in which a guarded request may come again
 * @param callsDependency whether its runs may call the dependency
 * @param degradedWeightRatio share of the worth earned by an answer that leaves the call out
 */
public record RequestClass(
    String name,
    long latencyObjective,
    long deadline,
    double priorityWeight,
    double lateWeightRatio,
    Idempotency idempotency,
    long idempotencyWindow,
    boolean callsDependency,
    double degradedWeightRatio) {}
