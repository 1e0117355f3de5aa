package mothwing.script;

import java.io.IOException;

/** A script that cannot be read or run: the message begins with file, line and column. */
public final class ScriptError extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes one.
   *
   * @param at where in the script
   * @param message what is wrong and what was expected
   */
  public ScriptError(Place at, String message) {
    super(at + ": " + message);
  }
}
