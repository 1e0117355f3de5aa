package mothwing.net;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;

/** The header fields and status lines of answers, the same for every front. */
public final class Headers {
  /** The wire name of the time for which a gateway is to stay away, in milliseconds. */
  private static final String RETRY_AFTER_MILLIS = "Hold-Off-Ms";

  /** The wire name of the mark that no other server should be tried. */
  private static final String DO_NOT_RETRY = "No-Other-Server";

  /** The wire name of the free value, by which gateways balance load. */
  private static final String FREE_VALUE = "Feedback";

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String BINARY = "application/octet-stream";
  private static final String ACTIVE_HEALTH_CHECK = "probe=1";

  private Headers() {}

  /**
   * The header fields of a rejection.
   *
   * @param last whether no other server should be tried
   * @param retryAfterMillis how long to stay away, or 0 for no advice
   * @return the fields
   */
  public static List<Header> rejection(boolean last, long retryAfterMillis) {
    List<Header> headers = new ArrayList<>();
    if (retryAfterMillis > 0) {
      headers.add(new Header(RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis)));
    }
    if (last) {
      headers.add(new Header(DO_NOT_RETRY, "1"));
    }
    return headers;
  }

  /**
   * The free value.
   *
   * @param value a number of 0 or more
   * @return the field
   */
  public static Header freeValue(double value) {
    String text = value == 0 ? "0.0" : BigDecimal.valueOf(value).toPlainString();
    return new Header(FREE_VALUE, text);
  }

  /**
   * The header fields that describe the content of an answer.
   *
   * @param bytes its length
   * @return the fields
   */
  static List<Header> content(int bytes) {
    return List.of(
        new Header(CONTENT_TYPE, BINARY), new Header(CONTENT_LENGTH, Integer.toString(bytes)));
  }

  /**
   * The reason phrase of a status.
   *
   * @param status its number
   * @return its words
   */
  public static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 413 -> "Content Too Large";
      case 503 -> "Service Unavailable";
      default -> "Internal Server Error";
    };
  }

  /**
   * Whether a health check's query asks for a run on the worker pool.
   *
   * @param query the query string
   * @return true where {@code probe} is 1
   */
  public static boolean isActiveHealthCheck(String query) {
    return List.of(query.split("&")).contains(ACTIVE_HEALTH_CHECK);
  }
}
