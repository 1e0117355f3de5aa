package mothwing.net;

/**
 * Thrown if a request field is missing or invalid; the message is the error code for the answer.
 */
public final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception for one field.
   *
   * @param field the field's name on the wire
   */
  InvalidRequestException(String field) {
    super("bad-" + field, null, false, false);
  }
}
