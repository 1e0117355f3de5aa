package mothwing.membership;

/**
 * One change of a member's view. The events of one member are ordered by their versions.
 *
 * @param version the version of the view from this event on
 * @param type the kind of change
 * @param record the record that led to it, of the member that it concerns
 */
public record MembershipEvent(long version, Type type, MemberRecord record) {
  /** The kind of change. */
  public enum Type {
    /** A member is new, or has returned. */
    JOINED,
    /** It is suspected. */
    SUSPECTED,
    /** It refuted the suspicion. */
    REFUTED,
    /** It is declared dead. */
    DECLARED_DEAD,
    /** It left on its own. */
    LEFT,
    /** It has repeatedly died and returned. */
    FLAPPING,
    /** It no longer counts as flapping. */
    STABLE,
    /** This process receives messages from too few members. */
    ISOLATED,
    /** This process receives messages from enough members again. */
    CONNECTED,
    /**
     * Another process has taken over this one's name: this one no longer takes part, except that a
     * leave is still announced.
     */
    DISPLACED
  }
}
