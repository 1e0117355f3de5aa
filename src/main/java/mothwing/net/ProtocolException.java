package mothwing.net;

/**
 * Thrown if input violates the protocol of its connection, which is then closed with the reason.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final CloseReason reason;

  /**
   * Creates the exception.
   *
   * @param reason the reason for closing the connection
   * @param message the violation
   */
  public ProtocolException(CloseReason reason, String message) {
    super(message, null, false, false);
    this.reason = reason;
  }

  /**
   * Returns the reason for closing the connection.
   *
   * @return the reason, whose code is logged
   */
  public CloseReason reason() {
    return reason;
  }
}
