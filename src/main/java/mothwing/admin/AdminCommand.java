package mothwing.admin;

import java.util.Locale;

/** The admin commands; their names are also those on the wire. */
public enum AdminCommand {
  /** Queries whether this process serves clients. */
  HEALTH,
  /** Queries the statistics. */
  DUMP,
  /** Queries the members of the fleet. */
  MEMBERS,
  /** Takes the server out of rotation. */
  LEAVE,
  /** Puts the server back into rotation. */
  JOIN;

  /**
   * Executes the command on a line. A line that is no command changes nothing.
   *
   * @param line the line, without its terminator
   * @param operations the operations of the server
   * @return the reply, with line terminators; it begins with {@code YES} or {@code NO}, except for
   *     statistics and members
   */
  static String reply(String line, AdminOperations operations) {
    String commandName = line.strip();
    for (AdminCommand command : values()) {
      if (command.name().equals(commandName)) {
        return command.execute(operations);
      }
    }
    return failure(
        commandName.isEmpty()
            ? "an empty line is no call"
            : "unknown call, known are HEALTH DUMP MEMBERS LEAVE JOIN");
  }

  private String execute(AdminOperations operations) {
    return switch (this) {
      case HEALTH -> operations.isServing() ? "YES\n" : failure("not taking clients");
      case DUMP -> operations.statistics() + "\nEND\n";
      case MEMBERS ->
          operations
              .members()
              .map(members -> members + "\nEND\n")
              .orElseGet(() -> failure("no fleet is configured"));
      case LEAVE, JOIN ->
          operations.setOutOfRotation(this == LEAVE) ? "YES\n" : failure("leaving for good");
    };
  }

  /** Returns the reply to a command that failed. */
  static String failure(String reason) {
    return "NO " + reason + "\n";
  }

  /**
   * Returns the command's name in counters.
   *
   * @return the name in lower case
   */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
