package mothwing.membership;

/**
 * The state of a member as reported by some member. Records may arrive late, repeatedly and in any
 * order: which of two supersedes the other depends on their contents alone.
 *
 * @param name its name
 * @param instanceId the random id of its process; a later process of the same name has another
 * @param address the address at which it receives messages
 * @param zone its zone
 * @param incarnation raised only by the member itself: to refute, to leave, or to take over the
 *     name; never decreases
 * @param state the state that is reported
 * @param reportedBy the name of the member that reports it
 */
public record MemberRecord(
    String name,
    long instanceId,
    String address,
    String zone,
    long incarnation,
    MemberState state,
    String reportedBy) {
  /** The maximum encoded size of numbers, keys and length prefixes. */
  private static final int FIXED_BYTES = 36;

  /**
   * Whether this supersedes another record of the same name: by incarnation, then state, then
   * instance id.
   */
  public boolean supersedes(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (state != other.state) {
      return state.compareTo(other.state) > 0;
    }
    return instanceId > other.instanceId;
  }

  MemberRecord withState(MemberState nextState, String reporter) {
    return new MemberRecord(name, instanceId, address, zone, incarnation, nextState, reporter);
  }

  MemberRecord withIncarnation(long nextIncarnation) {
    return new MemberRecord(name, instanceId, address, zone, nextIncarnation, state, reportedBy);
  }

  /** An upper bound of the encoded size in bytes, for ASCII strings. */
  public int maxEncodedBytes() {
    return FIXED_BYTES + name.length() + address.length() + zone.length() + reportedBy.length();
  }
}
