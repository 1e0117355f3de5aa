package mothwing.membership;

import java.util.List;

/**
 * What members send each other. It is known by what it says, never by where it came from; it may be
 * lost, late, repeated or from a start long gone.
 *
 * @param cluster whose message it is; those of others are dropped
 * @param kind what it wants
 * @param seq ties an answer to its question; the asker's own number
 * @param about the member that an {@link Kind#ASK} is about, else empty
 * @param self what the sender says of itself
 * @param claims what it says of others
 */
public record MembershipMessage(
    String cluster,
    Kind kind,
    long seq,
    String about,
    MemberRecord self,
    List<MemberRecord> claims) {
  private static final int FIXED = 32; // bytes of frame, version, kind and numbers

  /** What a message wants. */
  public enum Kind {
    /** An answer. */
    PING,
    /** It is one. */
    ACK,
    /** That the receiver pings another, and passes the answer on. */
    ASK,
    /** The one that was asked for is not heard, but I am. */
    NACK,
    /** All that the receiver holds; here is all that I do. */
    SYNC,
    /** It is that. */
    SYNCED
  }

  public MembershipMessage {
    claims = List.copyOf(claims);
  }

  /** What it takes on the wire, at most. */
  public int bytes() {
    return FIXED
        + cluster.length()
        + about.length()
        + self.bytes()
        + claims.stream().mapToInt(MemberRecord::bytes).sum();
  }
}
