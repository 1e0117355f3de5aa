package mothwing.net;

import mothwing.broker.Counters;
import mothwing.broker.EventLog;

/** Writes the log lines and counters of one connection. */
final class ConnectionEvents {
  private final String side;
  private final EventLog log;
  private final Counters counters;

  /**
   * Makes the events of one connection.
   *
   * @param side what it is called in the log and in counters
   * @param log takes its lines
   * @param counters counts what happens
   */
  ConnectionEvents(String side, EventLog log, Counters counters) {
    this.side = side;
    this.log = log;
    this.counters = counters;
  }

  /** Counts under the connection's side. */
  void count(String name) {
    counters.add(side + "-" + name);
  }

  /** Reports a defect of this program. */
  void fault(Throwable cause) {
    counters.add("faults");
    StackTraceElement[] stack = cause.getStackTrace();
    String at = stack.length > 0 ? " at=" + stack[0] : "";
    log.write("fault side=" + side + " what=\"" + cause + "\"" + at);
  }

  /**
   * Reports the end of the connection.
   *
   * @param reason why it ended
   * @param traffic peer, bytes and messages, as they are written in the line
   * @param detail more on the reason, or an empty text
   */
  void ended(CloseReason reason, String traffic, String detail) {
    count("ended-" + reason.code());
    String more = detail.isEmpty() ? "" : " detail=\"" + detail + "\"";
    log.write("connection-closed side=" + side + " reason=" + reason.code() + " " + traffic + more);
  }
}
