package mothwing.admin;

import java.util.Locale;

/** The calls of the operators' door. */
public enum AdminCommand {
  /** Asks whether this process takes clients. */
  HEALTH,
  /** Asks for the figures. */
  DUMP,
  /** Asks for the members of the fleet. */
  MEMBERS,
  /** Sends gateways away. */
  LEAVE,
  /** Takes gateways again. */
  JOIN;

  /**
   * Carries out the call that a line holds. A line that is no call changes nothing.
   *
   * @param line what came, without its end
   * @param on the shop server
   * @return the reply, each line with its end; its first word is {@code YES} or {@code NO}, but for
   *     the figures
   */
  static String reply(String line, AdminOperations on) {
    String word = line.strip();
    for (AdminCommand call : values()) {
      if (call.name().equals(word)) {
        return call.execute(on);
      }
    }
    return failure(
        word.isEmpty()
            ? "an empty line is no call"
            : "unknown call, known are HEALTH DUMP MEMBERS LEAVE JOIN");
  }

  private String execute(AdminOperations on) {
    return switch (this) {
      case HEALTH -> on.isServing() ? "YES\n" : failure("not taking clients");
      case DUMP -> on.statistics() + "\nEND\n";
      case MEMBERS ->
          on.members() == null ? failure("no fleet is configured") : on.members() + "\nEND\n";
      case LEAVE, JOIN ->
          on.setOutOfRotation(this == LEAVE) ? "YES\n" : failure("leaving for good");
    };
  }

  static String failure(String why) {
    return "NO " + why + "\n";
  }

  /**
   * The call as it stands in counters.
   *
   * @return its name in lower case
   */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
