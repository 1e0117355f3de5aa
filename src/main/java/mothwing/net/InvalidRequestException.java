package mothwing.net;

/** A request with a field that is missing or invalid; the message is the code for the answer. */
public final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes the error for one field.
   *
   * @param field its name on the wire
   */
  InvalidRequestException(String field) {
    super("bad-" + field, null, false, false);
  }
}
