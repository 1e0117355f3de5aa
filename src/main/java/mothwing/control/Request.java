package mothwing.control;

/**
 * A request that was read and is now held.
 *
 * @param id its name, never used twice
 * @param classIndex place of its class in the settings
 * @param tenantIndex place of its tenant in the settings, or -1
 * @param estimatedCoreTime a guess of its core time, or 0
 * @param queueingDelay span since it arrived at the machine
 * @param subject what it is about, or null
 * @param memoryKb kilobytes while held
 * @param originalId the remembered request that it repeats, or null
 * @param rank its rank as callers compare it with a level
 * @param callerDeadline when its caller gives up, or 0
 * @param mutating whether it writes
 */
public record Request(
    String id,
    int classIndex,
    int tenantIndex,
    long estimatedCoreTime,
    long queueingDelay,
    String subject,
    double memoryKb,
    String originalId,
    double rank,
    long callerDeadline,
    boolean mutating) {}
