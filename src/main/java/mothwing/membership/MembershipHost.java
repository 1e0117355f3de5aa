package mothwing.membership;

/** The network and the event listener of one member. No call may re-enter the member. */
public interface MembershipHost {
  /**
   * Sends a datagram; it may be lost, delayed or duplicated.
   *
   * @param address the address of the receiver
   * @param message the message
   */
  void sendDatagram(String address, MembershipMessage message);

  /**
   * Sends a message that may exceed a datagram, on a stream of its own; failures are not reported.
   *
   * @param address the address of the receiver
   * @param message the message
   */
  void sendStream(String address, MembershipMessage message);

  /**
   * Called for each event of the view.
   *
   * @param event the event
   */
  void onEvent(MembershipEvent event);
}
