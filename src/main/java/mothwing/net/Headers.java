package mothwing.net;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;

/** The fields of answers, as both fronts send them. */
public final class Headers {
  private Headers() {}

  /**
   * The fields of a refusal.
   *
   * @param last whether no other server should be tried
   * @param holdOffMs how long to stay away, or 0
   * @return names with values
   */
  public static List<String[]> refusal(boolean last, long holdOffMs) {
    List<String[]> all = new ArrayList<>();
    if (holdOffMs > 0) {
      all.add(new String[] {"Hold-Off-Ms", Long.toString(holdOffMs)});
    }
    if (last) {
      all.add(new String[] {"No-Other-Server", "1"});
    }
    return all;
  }

  /**
   * The free value.
   *
   * @param value a number of 0 or more
   * @return name with value
   */
  public static String[] feedback(double value) {
    String text = value == 0 ? "0.0" : BigDecimal.valueOf(value).toPlainString();
    return new String[] {"Feedback", text};
  }

  /**
   * The reason phrase of a status.
   *
   * @param status its number
   * @return its words
   */
  public static String phrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 413 -> "Content Too Large";
      case 503 -> "Service Unavailable";
      default -> "Internal Server Error";
    };
  }

  /**
   * Whether a health check's query asks for work to be done.
   *
   * @param query the query string
   * @return true where {@code probe} is 1
   */
  public static boolean probes(String query) {
    return List.of(query.split("&")).contains("probe=1");
  }
}
