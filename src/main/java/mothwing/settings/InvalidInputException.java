package mothwing.settings;

import java.io.IOException;

/** JSON that cannot be understood; the message names the field. */
public final class InvalidInputException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes a complaint.
   *
   * @param message what is wrong, naming the field
   */
  public InvalidInputException(String message) {
    super(message);
  }
}
