package mothwing.net;

import java.net.SocketAddress;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;

/** Writes the log lines of one connection and increments its counters. */
final class ConnectionEvents {
  private final String side;
  private final EventLog log;
  private final Counters counters;
  private long bytesRead;
  private long messages;

  /**
   * Creates the events of one connection.
   *
   * @param side the connection's name in the log and in counters
   * @param log the event log
   * @param counters the counters to increment
   */
  ConnectionEvents(String side, EventLog log, Counters counters) {
    this.side = side;
    this.log = log;
    this.counters = counters;
  }

  /** Records received bytes for the log line of the end. */
  void bytesRead(int bytes) {
    bytesRead += bytes;
  }

  /** Records a decoded message for the log line of the end. */
  void messageDecoded() {
    messages++;
  }

  /** Increments a counter of the connection's side. */
  void count(String name) {
    counters.add(side + "-" + name);
  }

  /** Logs and counts a defect of this program. */
  void fault(Throwable cause) {
    counters.add("faults");
    StackTraceElement[] stack = cause.getStackTrace();
    String locationField = stack.length > 0 ? " at=" + stack[0] : "";
    log.write("fault side=" + side + " what=\"" + cause + "\"" + locationField);
  }

  /**
   * Logs and counts the end of the connection.
   *
   * @param reason why it ended
   * @param peer the address of the peer
   * @param bytesWritten bytes sent to the peer
   * @param detail details of the reason, or an empty string
   */
  void closed(CloseReason reason, SocketAddress peer, long bytesWritten, String detail) {
    count("ended-" + reason.code());
    String detailField = detail.isEmpty() ? "" : " detail=\"" + detail + "\"";
    log.write(
        "connection-closed side="
            + side
            + " reason="
            + reason.code()
            + " peer="
            + peer
            + " in="
            + bytesRead
            + " out="
            + bytesWritten
            + " messages="
            + messages
            + detailField);
  }
}
