package mothwing.membership;

/**
 * What is held of a member. Of two claims with the same incarnation the later one in this order
 * holds.
 */
public enum MemberState {
  /** It answers. */
  ALIVE,
  /** It did not answer somebody, and has not objected yet. */
  SUSPECT,
  /** It did not object in time. */
  DEAD,
  /** It withdrew on its own. */
  LEFT;

  /** Whether it counts as there. */
  public boolean isPresent() {
    return this == ALIVE || this == SUSPECT;
  }
}
