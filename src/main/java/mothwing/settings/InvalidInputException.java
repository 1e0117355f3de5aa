package mothwing.settings;

import java.io.IOException;

/** Thrown if input is malformed or incomplete. The message names the field. */
public final class InvalidInputException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message the reason, with the name of the field
   */
  public InvalidInputException(String message) {
    super(message);
  }
}
