package mothwing.store;

import java.io.IOException;

/**
 * A file of the store that is damaged where it cannot be by a crash alone: what it had is not
 * passed over silently.
 */
public final class CorruptRecordException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes one.
   *
   * @param file the file's name
   * @param offset where the damage begins
   * @param what what is wrong
   */
  public CorruptRecordException(String file, long offset, String what) {
    super(file + " at byte " + offset + ": " + what);
  }
}
