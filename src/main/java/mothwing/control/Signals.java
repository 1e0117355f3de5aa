package mothwing.control;

/**
 * What can be said to callers.
 *
 * @param freeValue meaning of the free value
 * @param heardFor span for which a caller keeps the value
 * @param mayAdvise whether advice to stay away is passed on
 * @param longestAdvice longest span of advice that is honoured
 * @param goneNotices whether the server is told of callers who left
 * @param idle span after which callers close idle connections themselves; 0 where connections are
 *     not trimmed
 */
public record Signals(
    FreeValue freeValue,
    long heardFor,
    boolean mayAdvise,
    long longestAdvice,
    boolean goneNotices,
    long idle) {}
