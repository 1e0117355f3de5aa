package mothwing.membership;

/**
 * The state of a member. Of two records with the same incarnation, the one whose state is later in
 * this order supersedes the other.
 */
public enum MemberState {
  /** It answers probes. */
  ALIVE,
  /** It did not answer the probes of some member, and has not refuted the suspicion. */
  SUSPECT,
  /** It did not refute the suspicion in time. */
  DEAD,
  /** It left on its own. */
  LEFT;

  /** Whether it counts as a present member. */
  public boolean isPresent() {
    return this == ALIVE || this == SUSPECT;
  }
}
