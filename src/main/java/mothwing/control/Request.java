package mothwing.control;

/**
 * A request that was read and is now held.
 *
 * @param id its name, never used twice
 * @param requestClass place of its class in the settings
 * @param tenant place of its tenant in the settings, or -1
 * @param cost a guess of its core time, or 0
 * @param unread span since it arrived at the machine
 * @param subject what it is about, or null
 * @param memory kilobytes while held
 * @param forerunner the remembered request that it repeats, or null
 * @param rank its rank as callers compare it with a level
 * @param waitsUntil when its caller gives up, or 0
 * @param write whether it writes
 */
public record Request(
    String id,
    int requestClass,
    int tenant,
    long cost,
    long unread,
    String subject,
    double memory,
    String forerunner,
    double rank,
    long waitsUntil,
    boolean write) {}
