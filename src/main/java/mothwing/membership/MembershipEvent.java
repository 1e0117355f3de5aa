package mothwing.membership;

/**
 * One change of a member's view. The events of one member are in one order.
 *
 * @param version of the view from this event on
 * @param type what has changed
 * @param record the record that led to it, of the member that it concerns
 */
public record MembershipEvent(long version, Type type, MemberRecord record) {
  /** What can change. */
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
    /** It died and returned again and again. */
    FLAPPING,
    /** It no longer counts as flapping. */
    STABLE,
    /** This process hears too few members. */
    ISOLATED,
    /** This process hears enough members again. */
    CONNECTED,
    /** Another process has taken this one's name: this one sends nothing from now on. */
    DISPLACED
  }
}
