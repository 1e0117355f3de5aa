package mothwing.net;

/** Input breaks the protocol of its connection, which is closed with the reason. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  private final CloseReason reason;

  /**
   * Makes the error.
   *
   * @param reason the code for the log
   * @param message what is wrong
   */
  public ProtocolException(CloseReason reason, String message) {
    super(message, null, false, false);
    this.reason = reason;
  }

  /**
   * The code for the log.
   *
   * @return the reason
   */
  public CloseReason reason() {
    return reason;
  }
}
