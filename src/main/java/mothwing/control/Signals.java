package mothwing.control;

/**
 * What can be said to callers.
 *
 * @param freeValue meaning of the free value
 * @param freeValueLifetime span for which a caller keeps the value
 * @param retryAfterHonoured whether advice to stay away is passed on
 * @param maxRetryAfter longest span of advice that is honoured
 * @param cancellationsReported whether the server is told of callers who left
 * @param idleTimeout span after which callers close idle connections themselves; 0 where
 *     connections are not trimmed
 */
public record Signals(
    FreeValue freeValue,
    long freeValueLifetime,
    boolean retryAfterHonoured,
    long maxRetryAfter,
    boolean cancellationsReported,
    long idleTimeout) {}
