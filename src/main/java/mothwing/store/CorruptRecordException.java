package mothwing.store;

import java.io.IOException;

/**
 * Thrown if a file of the store is damaged in a way that a crash does not explain. Acknowledged
 * records may be lost, so reading the file fails.
 */
public final class CorruptRecordException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message names the file and the offset.
   *
   * @param file the name of the file
   * @param offset the start of the damage, in bytes from the start of the file
   * @param problem the kind of damage
   */
  public CorruptRecordException(String file, long offset, String problem) {
    super(file + " at byte " + offset + ": " + problem);
  }
}
