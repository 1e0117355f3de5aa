package mothwing.settings;

import java.io.IOException;

/** Input that is malformed or incomplete; the message names the field. */
public final class InvalidInputException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception.
   *
   * @param message what is wrong, naming the field
   */
  public InvalidInputException(String message) {
    super(message);
  }
}
