package mothwing.broker;

/**
 * A request as a front decoded it: the fields that decisions need, and the body unchanged.
 *
 * @param id its id, new with every attempt
 * @param acceptedAtMs when it reached the machine, in Unix milliseconds of the gateway's clock
 * @param tenant the name of its tenant, or an empty string
 * @param className the name of its class
 * @param memoryKb kilobytes reserved for it while it is queued
 * @param rank its rank, from 0 to under 1
 * @param cacheKey the subject of a read, or null
 * @param idempotencyKey what all attempts of one request have in common, or null
 * @param maxWaitMs milliseconds that its caller waits from when it reached the machine, or {@link
 *     #NOT_STATED}
 * @param body the body, unchanged
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
  /** The wait of a request that states none. */
  public static final long NOT_STATED = -1;

  /** Characters of an idempotency key at most. */
  public static final int MAX_KEY_CHARS = 128;

  /** Bytes of a body at most. */
  public static final int MAX_BODY_BYTES = 2048;

  /** Precedes the name of the class in the path. */
  public static final String PATH_PREFIX = "/call/";
}
