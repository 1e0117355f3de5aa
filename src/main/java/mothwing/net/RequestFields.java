package mothwing.net;

import java.util.Locale;
import java.util.regex.Pattern;
import mothwing.broker.InboundRequest;

/**
 * Collects the fields of one request as a front reads them, validates them, and creates an {@link
 * InboundRequest}. Only this class knows the names of request fields on the wire. Names are
 * case-insensitive; unknown fields are ignored.
 */
public final class RequestFields {
  /** Name on the wire of the request's id, which is new with every attempt. */
  public static final String ID = "trace-id";

  /**
   * Name on the wire of the time at which the request reached the gateway, in Unix milliseconds.
   */
  public static final String ACCEPTED_AT_MILLIS = "accepted-at-ms";

  /** Name on the wire of the client's number, which is validated and otherwise unused. */
  public static final String CLIENT_NUMBER = "client-no";

  /** Name on the wire of the tenant. */
  public static final String TENANT = "project";

  /** Name on the wire of the memory that the request reserves, in KiB. */
  public static final String MEMORY_KB = "reserve-kb";

  /** Name on the wire of the rank within the class, from 0 inclusive to 1 exclusive. */
  public static final String RANK = "standing";

  /** Name on the wire of the key under which a read may be cached. */
  public static final String CACHE_KEY = "lookup-key";

  /** Name on the wire of the idempotency key. */
  public static final String IDEMPOTENCY_KEY = "replay-key";

  /** Name on the wire of the caller's longest wait, in milliseconds. */
  public static final String MAX_WAIT_MILLIS = "max-wait-ms";

  private static final Pattern ID_FORMAT = Pattern.compile("[0-9a-fA-F]{16}");
  private static final Pattern INTEGER_FORMAT = Pattern.compile("[0-9]{1,15}");
  // Stricter than Double.parseDouble, which also accepts 12f, 0x1p3 and NaN.
  private static final Pattern DECIMAL_FORMAT =
      Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?");
  private static final double MEMORY_LIMIT_KB = 2000;

  /** The lengths of the shortest and the longest name. */
  private static final int MIN_NAME_CHARS = TENANT.length();

  private static final int MAX_NAME_CHARS = ACCEPTED_AT_MILLIS.length();

  private String id = "";
  private String acceptedAt = "";
  private String clientNumber = "0";
  private String tenant = "";
  private String memory = "";
  private String rank = "";
  private String cacheKey;
  private String idempotencyKey;
  private String maxWait;

  /**
   * Sets a field; the last value of a name applies.
   *
   * @param name the field's name on the wire, in any case
   * @param value the field's text
   */
  public void set(String name, String value) {
    switch (name.toLowerCase(Locale.ROOT)) {
      case ID -> id = value;
      case ACCEPTED_AT_MILLIS -> acceptedAt = value;
      case CLIENT_NUMBER -> clientNumber = value;
      case TENANT -> tenant = value;
      case MEMORY_KB -> memory = value;
      case RANK -> rank = value;
      case CACHE_KEY -> cacheKey = value;
      case IDEMPOTENCY_KEY -> idempotencyKey = value;
      case MAX_WAIT_MILLIS -> maxWait = value;
      default -> {}
    }
  }

  /**
   * Returns whether a field's name may be known, by its length; all others need not be decoded.
   *
   * @param length the length of the name in characters
   * @return false if no field has a name of this length
   */
  public static boolean isLengthOfName(int length) {
    return length >= MIN_NAME_CHARS && length <= MAX_NAME_CHARS;
  }

  /**
   * Creates the request from the fields set so far.
   *
   * @param path the path of the request, {@code /call/CLASS}
   * @param body the body
   * @return the request
   * @throws InvalidRequestException if a field is missing or invalid
   */
  public InboundRequest toRequest(String path, byte[] body) throws InvalidRequestException {
    require(path.startsWith(InboundRequest.PATH_PREFIX), "path");
    require(ID_FORMAT.matcher(id).matches(), ID);
    require(INTEGER_FORMAT.matcher(acceptedAt).matches(), ACCEPTED_AT_MILLIS);
    require(INTEGER_FORMAT.matcher(clientNumber).matches(), CLIENT_NUMBER);
    double memoryKb = parseDecimal(memory, MEMORY_KB);
    double rankValue = parseDecimal(rank, RANK);
    require(memoryKb > 0 && memoryKb < MEMORY_LIMIT_KB, MEMORY_KB);
    require(rankValue < 1, RANK);
    require(idempotencyKey == null || isKeyLengthValid(), IDEMPOTENCY_KEY);
    require(maxWait == null || INTEGER_FORMAT.matcher(maxWait).matches(), MAX_WAIT_MILLIS);
    return new InboundRequest(
        id,
        Long.parseLong(acceptedAt),
        tenant,
        path.substring(InboundRequest.PATH_PREFIX.length()),
        memoryKb,
        rankValue,
        cacheKey,
        idempotencyKey,
        maxWait == null ? InboundRequest.NOT_STATED : Long.parseLong(maxWait),
        body);
  }

  private boolean isKeyLengthValid() {
    return !idempotencyKey.isEmpty() && idempotencyKey.length() <= InboundRequest.MAX_KEY_CHARS;
  }

  private static double parseDecimal(String text, String field) throws InvalidRequestException {
    require(DECIMAL_FORMAT.matcher(text).matches(), field);
    return Double.parseDouble(text);
  }

  private static void require(boolean valid, String field) throws InvalidRequestException {
    if (!valid) {
      throw new InvalidRequestException(field);
    }
  }
}
