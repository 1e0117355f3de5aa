package mothwing.membership;

/**
 * One change of a member's view; all changes of one member come in one order.
 *
 * @param version of the view from this change on
 * @param type what has changed
 * @param member the claim that made it, on the member it is about
 */
public record MembershipEvent(long version, Type type, MemberRecord member) {
  /** What can change. */
  public enum Type {
    /** A member is new, or back. */
    JOINED,
    /** It is suspected. */
    SUSPECTED,
    /** It objected. */
    CLEARED,
    /** It is taken for dead. */
    DIED,
    /** It withdrew. */
    LEFT,
    /** It died and came back again and again of late. */
    FLAPS,
    /** It has not died for long enough. */
    STEADIED,
    /** Oneself hears too few. */
    ALONE,
    /** Oneself hears enough again. */
    CONNECTED,
    /** Another process has taken one's name: one is silent from now on. */
    DISPLACED
  }
}
