package mothwing.membership;

/**
 * The state of a member as somebody reports it. Records may arrive late, repeated and in any order:
 * which of two holds depends on their contents alone.
 *
 * @param name its name
 * @param instanceId the random id of its process: a later process of the same name has another
 * @param address where it receives messages
 * @param zone its zone
 * @param incarnation raised by the member alone, to refute; never decreases
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
  private static final int FIXED_BYTES = 36; // numbers, keys and lengths as encoded

  /**
   * Whether this holds against another record of the same name: by incarnation, then state, then
   * instance.
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

  /** An upper bound of its size as encoded. */
  public int maxEncodedBytes() {
    return FIXED_BYTES + name.length() + address.length() + zone.length() + reportedBy.length();
  }
}
