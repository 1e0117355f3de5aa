package mothwing.membership;

/**
 * The state of a member. Of two records with the same incarnation the one with the later state in
 * this order holds.
 */
public enum MemberState {
  /** It answers. */
  ALIVE,
  /** It did not answer somebody, and has not refuted that yet. */
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
