package mothwing.control;

/**
 * A request that was read and is held. Times and durations are microseconds.
 *
 * @param id its identifier, never used twice
 * @param classIndex index of its class in the settings
 * @param tenantIndex index of its tenant in the settings, or -1
 * @param estimatedCoreTime estimated core time, or 0 without an estimate
 * @param queueingDelay time between its arrival at the machine and its reading
 * @param cacheKey cache key of a read, or null
 * @param memoryKb memory while it is held, in kilobytes
 * @param originalId the request with the same idempotency key that it repeats, or null
 * @param rank its rank, which callers compare with a published level
 * @param callerDeadline time at which its caller stops waiting, or 0 if unknown
 * @param mutating whether it writes
 */
public record Request(
    String id,
    int classIndex,
    int tenantIndex,
    long estimatedCoreTime,
    long queueingDelay,
    String cacheKey,
    double memoryKb,
    String originalId,
    double rank,
    long callerDeadline,
    boolean mutating) {}
