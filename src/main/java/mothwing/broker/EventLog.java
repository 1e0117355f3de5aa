package mothwing.broker;

/** Receives log lines: an event code, then fields of the form {@code name=value}. */
@FunctionalInterface
public interface EventLog {
  /**
   * Writes a line.
   *
   * @param line its text
   */
  void write(String line);
}
