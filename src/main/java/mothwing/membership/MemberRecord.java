package mothwing.membership;

/**
 * What somebody says of a member. Claims may come late, repeated and in any order: which of two
 * holds depends on them alone.
 *
 * @param name its name
 * @param start the id of its start: another process of the same name has another
 * @param address where it wants to be written to
 * @param zone where it stands
 * @param incarnation raised by the member alone, each time that it objects; never goes back
 * @param state what is said of it
 * @param reportedBy who says so
 */
public record MemberRecord(
    String name,
    long start,
    String address,
    String zone,
    long incarnation,
    MemberState state,
    String reportedBy) {
  private static final int FIXED = 36; // bytes of numbers, keys and lengths on the wire

  /** Whether this holds against another claim on the same name. */
  public boolean supersedes(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state != other.state ? state.ordinal() > other.state.ordinal() : start > other.start;
  }

  MemberRecord with(MemberState now, String who) {
    return new MemberRecord(name, start, address, zone, incarnation, now, who);
  }

  MemberRecord withIncarnation(long to) {
    return new MemberRecord(name, start, address, zone, to, state, reportedBy);
  }

  /** What it takes on the wire, at most. */
  public int bytes() {
    return FIXED + name.length() + address.length() + zone.length() + reportedBy.length();
  }
}
