package mothwing.store;

import java.io.IOException;

/**
 * A file of the store is damaged in a way that no crash explains: acknowledged records may be lost,
 * so reading it fails.
 */
public final class CorruptRecordException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception whose message names the place.
   *
   * @param file the file's name
   * @param offset where the damage begins, in bytes from the start of the file
   * @param problem what is wrong
   */
  public CorruptRecordException(String file, long offset, String problem) {
    super(file + " at byte " + offset + ": " + problem);
  }
}
