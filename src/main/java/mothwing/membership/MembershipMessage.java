package mothwing.membership;

import java.util.List;

/**
 * A message between members. It is identified by its contents, never by its source address; it may
 * be lost, late, repeated or of an earlier process.
 *
 * @param cluster the cluster that it belongs to
 * @param kind its purpose
 * @param sequence ties a response to its request; numbered by the requester
 * @param pingTarget the member that a {@link Kind#PING_REQUEST} concerns, else empty
 * @param sender the sender's own record
 * @param records records of other members
 */
public record MembershipMessage(
    String cluster,
    Kind kind,
    long sequence,
    String pingTarget,
    MemberRecord sender,
    List<MemberRecord> records) {
  private static final int FIXED_BYTES = 32; // frame, version, kind and numbers as encoded

  /** The purpose of a message. */
  public enum Kind {
    /** Wants an acknowledgement. */
    PING,
    /** Acknowledges a ping. */
    ACK,
    /** Asks the receiver to ping another member, and to pass on its acknowledgement. */
    PING_REQUEST,
    /** The member of a ping request did not answer the sender, which itself is alive. */
    NACK,
    /** Carries all records of the sender, and asks for those of the receiver. */
    SYNC_REQUEST,
    /** Carries all records of the receiver of a sync request. */
    SYNC_RESPONSE
  }

  /** Copies the records. */
  public MembershipMessage {
    records = List.copyOf(records);
  }

  /** An upper bound of its size as encoded. */
  public int maxEncodedBytes() {
    return FIXED_BYTES
        + cluster.length()
        + pingTarget.length()
        + sender.maxEncodedBytes()
        + records.stream().mapToInt(MemberRecord::maxEncodedBytes).sum();
  }
}
