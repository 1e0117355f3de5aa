package mothwing.broker;

/**
 * A request as a front decoded it: the fields that the controller needs, and the unchanged body.
 *
 * @param id its id, new for every attempt
 * @param acceptedAtMs when it reached the machine, in Unix milliseconds of the gateway's clock
 * @param tenant the name of its tenant, or an empty string
 * @param className the name of its class
 * @param memoryKb kilobytes reserved for it while it is queued
 * @param rank its rank, at least 0 and below 1
 * @param cacheKey the key of the resource that it reads, or null
 * @param idempotencyKey the key that all attempts of one request share, or null
 * @param maxWaitMs milliseconds that its caller waits, from when it reached the machine, or {@link
 *     #NOT_STATED}
 * @param body the unchanged body
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
  /** The value of {@link #maxWaitMs} in a request that states none. */
  public static final long NOT_STATED = -1;

  /** The maximum number of characters of an idempotency key. */
  public static final int MAX_KEY_CHARS = 128;

  /** The maximum number of bytes of a body. */
  public static final int MAX_BODY_BYTES = 2048;

  /** The prefix of a request's path, followed by the name of its class. */
  public static final String PATH_PREFIX = "/call/";
}
