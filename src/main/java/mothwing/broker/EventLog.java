package mothwing.broker;

/** Takes one line of the log: a code, then words of the form {@code name=value}. */
@FunctionalInterface
public interface EventLog {
  /**
   * Writes a line.
   *
   * @param line its text
   */
  void write(String line);
}
