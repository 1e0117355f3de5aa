package mothwing.control;

/**
 * A class of requests. Durations are microseconds.
 *
 * @param name its name, unique among the classes
 * @param latencyObjective duration from the first attempt within which an answer earns the full
 *     priority weight
 * @param deadline duration from the first attempt after which no client waits any longer
 * @param priorityWeight weight of one answered request, at least 0
 * @param lateWeightRatio share of the weight, from 0 to 1, that an answer earns between the latency
 *     objective and the deadline
 * @param idempotency whether a request may run more than once
 * @param idempotencyWindow duration after its arrival in which a request may be repeated with the
 *     same idempotency key
 * @param callsDependency whether its runs may call the dependency
 * @param degradedWeightRatio share of the weight, from 0 to 1, that an answer without its
 *     dependency call earns; 0 if the call is required
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
