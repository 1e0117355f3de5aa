package mothwing.script;

/**
 * A place in a script.
 *
 * @param file the file's name as it was loaded
 * @param line counted from 1
 * @param column counted from 1
 */
public record Place(String file, int line, int column) {
  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
