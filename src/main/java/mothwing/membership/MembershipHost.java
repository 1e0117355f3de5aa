package mothwing.membership;

/**
 * What a member acts through. None of these calls may come back into the member before it has
 * returned.
 */
public interface MembershipHost {
  /**
   * Sends a datagram: it may be lost, late, repeated.
   *
   * @param address where to
   * @param message what
   */
  void send(String address, MembershipMessage message);

  /**
   * Sends on a stream of its own, which takes any size; nobody says where it fails.
   *
   * @param address where to
   * @param message what
   */
  void stream(String address, MembershipMessage message);

  /**
   * Something has changed.
   *
   * @param change what
   */
  void changed(MembershipEvent change);
}
