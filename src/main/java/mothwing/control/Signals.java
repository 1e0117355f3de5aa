package mothwing.control;

/**
 * The signals that callers understand. Durations are microseconds.
 *
 * @param freeValue the meaning of the free value
 * @param freeValueLifetime duration for which a caller keeps a value
 * @param retryAfterHonoured whether callers honour a Retry-After duration
 * @param maxRetryAfter the longest Retry-After duration that is honoured
 * @param cancellationsReported whether the server learns of cancelled requests
 * @param idleTimeout idle time after which callers close connections themselves; 0 where the server
 *     cannot close them sooner
 */
public record Signals(
    FreeValue freeValue,
    long freeValueLifetime,
    boolean retryAfterHonoured,
    long maxRetryAfter,
    boolean cancellationsReported,
    long idleTimeout) {}
