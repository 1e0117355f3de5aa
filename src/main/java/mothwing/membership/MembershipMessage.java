package mothwing.membership;

import java.util.List;

/**
 * A message between members. The sender is identified by the contents, never by the source address.
 * A message may be lost, delayed or duplicated, or stem from an earlier process of its sender.
 *
 * @param cluster the cluster that it belongs to
 * @param kind the purpose of the message
 * @param sequence matches a response to its request; assigned by the requester
 * @param pingTarget the member that a {@link Kind#PING_REQUEST} concerns, else empty
 * @param sender the sender's own record
 * @param records further records: gossip, or all that the sender knows for a sync
 */
public record MembershipMessage(
    String cluster,
    Kind kind,
    long sequence,
    String pingTarget,
    MemberRecord sender,
    List<MemberRecord> records) {
  /** The maximum encoded size of header, keys, numbers and length prefixes. */
  private static final int FIXED_BYTES = 32;

  /** The purpose of a message. */
  public enum Kind {
    /** Requests an acknowledgement. */
    PING,
    /** Acknowledges a ping. */
    ACK,
    /** Asks the receiver to ping another member, and to pass on its acknowledgement. */
    PING_REQUEST,
    /** Reports that the target of a ping request did not answer, and that the sender is alive. */
    NACK,
    /** Carries all records of the sender, and requests those of the receiver. */
    SYNC_REQUEST,
    /** Carries all records of the sender, in response to a sync request. */
    SYNC_RESPONSE
  }

  /** Copies the records. */
  public MembershipMessage {
    records = List.copyOf(records);
  }

  /** An upper bound of the encoded size in bytes, for ASCII strings. */
  public int maxEncodedBytes() {
    return FIXED_BYTES
        + cluster.length()
        + pingTarget.length()
        + sender.maxEncodedBytes()
        + records.stream().mapToInt(MemberRecord::maxEncodedBytes).sum();
  }
}
