package mothwing.broker;

import java.util.Locale;
import java.util.regex.Pattern;

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

  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
  private static final Pattern WHOLE = Pattern.compile("[0-9]{1,15}");
  // Not all that Java takes for a number: it would also read 12f, 0x1p3 and words for what is none.
  private static final Pattern NUMBER =
      Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?");
  private static final double MOST_RESERVE = 2000;

  /** A request whose fields cannot be understood; the message is its reason code. */
  public static final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String code) {
      super(code, null, false, false);
    }
  }

  /** Takes fields by name as a front meets them; names it does not know are passed over. */
  public static final class Fields {
    private String id = "";
    private String accepted = "";
    private String caller = "0";
    private String tenant = "";
    private String reserve = "";
    private String rank = "";
    private String subject;
    private String idempotencyKey;
    private String wait;

    /**
     * Takes one field.
     *
     * @param name its name as in the protocol's table, in any case
     * @param value its text
     */
    public void set(String name, String value) {
      switch (name.toLowerCase(Locale.ROOT)) {
        case "trace-id" -> id = value;
        case "accepted-at-ms" -> accepted = value;
        case "client-no" -> caller = value;
        case "project" -> tenant = value;
        case "reserve-kb" -> reserve = value;
        case "standing" -> rank = value;
        case "lookup-key" -> subject = value;
        case "replay-key" -> idempotencyKey = value;
        case "max-wait-ms" -> wait = value;
        default -> {}
      }
    }

    /**
     * Makes the request of what was taken.
     *
     * @param path the path it was sent to, {@code /call/CLASS}
     * @param body its body
     * @return the request
     * @throws Bad where a field is missing or makes no sense
     */
    public InboundRequest toRequest(String path, byte[] body) throws InvalidRequestException {
      if (!path.startsWith(PATH_PREFIX)) {
        throw new InvalidRequestException("bad-path");
      }
      if (!ID.matcher(id).matches()) {
        throw new InvalidRequestException("bad-trace-id");
      }
      if (!WHOLE.matcher(accepted).matches()) {
        throw new InvalidRequestException("bad-accepted-at-ms");
      }
      if (!WHOLE.matcher(caller).matches()) {
        throw new InvalidRequestException("bad-client-no");
      }
      double kb = number(reserve, "bad-reserve-kb");
      double standing = number(rank, "bad-standing");
      if (!(kb > 0 && kb < MOST_RESERVE)) {
        throw new InvalidRequestException("bad-reserve-kb");
      }
      if (!(standing < 1)) {
        throw new InvalidRequestException("bad-standing");
      }
      if (idempotencyKey != null
          && (idempotencyKey.isEmpty() || idempotencyKey.length() > MAX_KEY_CHARS)) {
        throw new InvalidRequestException("bad-replay-key");
      }
      if (wait != null && !WHOLE.matcher(wait).matches()) {
        throw new InvalidRequestException("bad-max-wait-ms");
      }
      return new InboundRequest(
          id,
          Long.parseLong(accepted),
          tenant,
          path.substring(PATH_PREFIX.length()),
          kb,
          standing,
          subject,
          idempotencyKey,
          wait == null ? NOT_STATED : Long.parseLong(wait),
          body);
    }

    private static double number(String text, String code) throws InvalidRequestException {
      if (!NUMBER.matcher(text).matches()) {
        throw new InvalidRequestException(code);
      }
      return Double.parseDouble(text);
    }
  }
}
