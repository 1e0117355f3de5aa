package mothwing.admin;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;

/**
 * A connection of an operator: reads one command line, sends one reply and closes. Input after the
 * line is ignored; a line longer than {@link #MAX_LINE_BYTES} bytes is answered with an error.
 */
public final class AdminConnection extends Connection {
  /** Most bytes of a line, without its terminator. */
  static final int MAX_LINE_BYTES = 64;

  private final AdminOperations operations;

  /**
   * Creates the state of a new connection.
   *
   * @param operations the operations of the server
   * @param log the event log
   * @param counters the counters to increment
   */
  public AdminConnection(AdminOperations operations, EventLog log, Counters counters) {
    super("management", MAX_LINE_BYTES + 2, log, counters);
    this.operations = operations;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MAX_LINE_BYTES) {
      return false;
    }
    markIdentified();
    count("calls");
    boolean complete = length >= 0 && length <= MAX_LINE_BYTES + 1;
    String reply =
        complete
            ? AdminCommand.reply(
                in.readCharSequence(length, StandardCharsets.US_ASCII).toString(), operations)
            : AdminCommand.failure("a line has at most " + MAX_LINE_BYTES + " bytes");
    count(reply.startsWith("NO ") ? "answered-no" : "answered");
    send(reply.length(), out -> out.writeCharSequence(reply, StandardCharsets.US_ASCII));
    close(CloseReason.ASKED, "");
    return true;
  }

  @Override
  protected void onClosed() {
    // there is no state to release
  }
}
