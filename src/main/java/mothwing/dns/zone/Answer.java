package mothwing.dns.zone;

import java.util.ArrayList;
import java.util.List;

/** What a zone says to a question: the code and the three sections (RFC 1035 section 4.1). */
public final class Answer {
  /**
   * A set as it stands in a section.
   *
   * @param owner whose it is, or null for the name that was asked for
   * @param set its records
   * @param ttl seconds, which may be fewer than the set's own
   */
  public record Part(DomainName owner, RRset set, int ttl) {}

  private final List<Part> answer = new ArrayList<>(1);
  private final List<Part> authority = new ArrayList<>(1);
  private final List<Part> additional = new ArrayList<>(0);
  private int rcode;
  private boolean authoritative = true;

  /**
   * The code (RFC 1035 section 4.1.1).
   *
   * @return its number
   */
  public int rcode() {
    return rcode;
  }

  /**
   * Whether the zone has authority over the name, rather than one it delegates to.
   *
   * @return true if so
   */
  public boolean authoritative() {
    return authoritative;
  }

  /**
   * The answer section.
   *
   * @return its sets
   */
  public List<Part> answer() {
    return answer;
  }

  /**
   * The authority section.
   *
   * @return its sets
   */
  public List<Part> authority() {
    return authority;
  }

  /**
   * The additional section; it may be left out where there is no room.
   *
   * @return its sets
   */
  public List<Part> additional() {
    return additional;
  }

  void rcode(int code) {
    rcode = code;
  }

  void referral() {
    authoritative = !answer.isEmpty() && authoritative;
  }
}
