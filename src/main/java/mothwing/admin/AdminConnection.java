package mothwing.admin;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;

/**
 * A caller at the operators' door: one line, one reply, and a close. What follows the line is not
 * read; a line over {@link #MAX_LINE_BYTES} bytes is answered with a plain no.
 */
public final class AdminConnection extends Connection {
  /** Most bytes of a line, its end left out. */
  static final int MAX_LINE_BYTES = 64;

  private final AdminOperations on;

  /**
   * Makes the state of a new caller.
   *
   * @param on the shop server
   * @param log takes its line
   * @param counters counts what happens
   */
  public AdminConnection(AdminOperations on, EventLog log, Counters counters) {
    super("management", MAX_LINE_BYTES + 2, log, counters);
    this.on = on;
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MAX_LINE_BYTES) {
      return false;
    }
    markIdentified();
    count("calls");
    boolean whole = length >= 0 && length <= MAX_LINE_BYTES + 1;
    String answer =
        whole
            ? AdminCommand.reply(
                in.readCharSequence(length, StandardCharsets.US_ASCII).toString(), on)
            : AdminCommand.failure("a line has at most " + MAX_LINE_BYTES + " bytes");
    count(answer.startsWith("NO ") ? "answered-no" : "answered");
    ByteBuf out = allocate(answer.length());
    out.writeCharSequence(answer, StandardCharsets.US_ASCII);
    send(out);
    close(CloseReason.ASKED, "");
    return true;
  }

  @Override
  protected void onClosed() {
    // nothing is kept of it
  }
}
