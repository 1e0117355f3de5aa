package mothwing.control;

/**
 * A class of requests.
 *
 * @param name its name
 * @param aim span from the first try within which an answer earns full worth
 * @param deadline span that a client waits in all
 * @param worth worth of one request
 * @param lateWorth share of the worth earned between aim and deadline
 * @param repeats whether it may run again
 * @param window span after its arrival in which a guarded request may come again
 * @param calls whether its runs may call the dependency
 * @param skipWorth share of the worth earned by an answer that leaves the call out
 */
public record RequestClass(
    String name,
    long aim,
    long deadline,
    double worth,
    double lateWorth,
    Idempotency repeats,
    long window,
    boolean calls,
    double skipWorth) {}
