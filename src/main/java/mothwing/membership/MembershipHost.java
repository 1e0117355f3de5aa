package mothwing.membership;

/** The network and the listener of one member. No call may re-enter the member. */
public interface MembershipHost {
  /**
   * Sends a datagram: it may be lost, late or repeated.
   *
   * @param address the receiver
   * @param message the message
   */
  void sendDatagram(String address, MembershipMessage message);

  /**
   * Sends on a stream of its own, which takes any size; failures are not reported.
   *
   * @param address the receiver
   * @param message the message
   */
  void sendStream(String address, MembershipMessage message);

  /**
   * The view has changed.
   *
   * @param event the change
   */
  void onEvent(MembershipEvent event);
}
