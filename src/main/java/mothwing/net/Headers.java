package mothwing.net;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;

/** The header fields and reason phrases of answers, the same for every front. */
public final class Headers {
  /** Name on the wire of the delay in milliseconds after which a gateway may retry. */
  private static final String RETRY_AFTER_MILLIS = "Hold-Off-Ms";

  /** Name on the wire of the flag that no other server should be tried. */
  private static final String NO_OTHER_SERVER = "No-Other-Server";

  /** Name on the wire of the free value, by which gateways balance load. */
  private static final String FREE_VALUE = "Feedback";

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String BINARY = "application/octet-stream";
  private static final String ACTIVE_HEALTH_CHECK = "probe=1";

  private Headers() {}

  /**
   * Returns the header fields of a rejection.
   *
   * @param noOtherServer whether no other server should be tried
   * @param retryAfterMillis milliseconds after which the gateway may retry, or 0 for no advice
   * @return the fields
   */
  public static List<Header> rejection(boolean noOtherServer, long retryAfterMillis) {
    List<Header> headers = new ArrayList<>();
    if (retryAfterMillis > 0) {
      headers.add(new Header(RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis)));
    }
    if (noOtherServer) {
      headers.add(new Header(NO_OTHER_SERVER, "1"));
    }
    return headers;
  }

  /**
   * Returns the header field with the free value.
   *
   * @param value the free value, 0 or more
   * @return the field
   */
  public static Header freeValue(double value) {
    String text = value == 0 ? "0.0" : BigDecimal.valueOf(value).toPlainString();
    return new Header(FREE_VALUE, text);
  }

  /**
   * Returns the header fields that describe the content of an answer.
   *
   * @param bytes the length of the content
   * @return the fields
   */
  static List<Header> content(int bytes) {
    return List.of(
        new Header(CONTENT_TYPE, BINARY), new Header(CONTENT_LENGTH, Integer.toString(bytes)));
  }

  /**
   * Returns the reason phrase of a status.
   *
   * @param status the status code
   * @return the reason phrase
   */
  public static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      case 503 -> "Service Unavailable";
      default -> "Internal Server Error";
    };
  }

  /**
   * Returns whether the query of a health check requests a run on the worker pool.
   *
   * @param query the query string
   * @return true if {@code probe} is 1
   */
  public static boolean isActiveHealthCheck(String query) {
    return List.of(query.split("&")).contains(ACTIVE_HEALTH_CHECK);
  }
}
