package mothwing.broker;

/**
 * A request as a front read it: the fields that decisions need, and the body as it came.
 *
 * @param id its name, new with every try
 * @param acceptedAtMs when it came to the machine, in Unix milliseconds
 * @param tenant the tenant's name, or an empty word
 * @param className the name of its class
 * @param memoryKb memory booked for it while it is held
 * @param rank its rank, from 0 to under 1
 * @param cacheKey what a read is about, or null
 * @param idempotencyKey what all tries of a guarded request have in common, or null
 * @param maxWaitMs how long its caller waits from when it came to the machine, in milliseconds, or
 *     {@link #NOT_STATED}
 * @param body the body as it came
 */
public record InboundRequest(
    String id,
    long acceptedAtMs,
    String tenant,
    String className,
    double memoryKb,
    double rank,
    String cacheKey,
    String idempotencyKey,
    long maxWaitMs,
    byte[] body) {
  /** Where a request does not tell how long its caller waits. */
  public static final long NOT_STATED = -1;

  /** Most characters of an idempotency key. */
  public static final int MAX_KEY_CHARS = 128;

  /** Most bytes of a body. */
  public static final int MAX_BODY_BYTES = 2048;

  /** What stands before the name of a class in the path. */
  public static final String PATH_PREFIX = "/call/";
}
