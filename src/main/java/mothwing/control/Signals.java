package mothwing.control;

/**
 * The signals that callers understand. Durations are microseconds.
 *
 * @param freeValue the meaning of the free value
 * @param freeValueLifetime duration for which a caller uses a published value
 * @param retryAfterHonoured whether callers honour a Retry-After duration
 * @param maxRetryAfter the longest Retry-After duration that callers honour
 * @param cancellationsReported whether the server is notified of cancelled requests
 * @param idleTimeout idle time after which callers close connections; 0 if the server cannot close
 *     them earlier
 */
public record Signals(
    FreeValue freeValue,
    long freeValueLifetime,
    boolean retryAfterHonoured,
    long maxRetryAfter,
    boolean cancellationsReported,
    long idleTimeout) {}
