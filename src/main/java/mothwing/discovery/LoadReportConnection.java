package mothwing.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;

/** One connection to the announce service: reports as HTTP/1.1 calls, one at a time. */
final class LoadReportConnection extends Connection {
  static final int MOST_ANSWER = 8 << 10;

  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final int NO_CONTENT = 204;

  private final LoadReporter announcer;
  private final int address;
  private final String name;
  private boolean waiting;

  LoadReportConnection(
      LoadReporter announcer, int address, String name, EventLog log, Counters counters) {
    super("announce", MOST_ANSWER, log, counters);
    this.announcer = announcer;
    this.address = address;
    this.name = name;
  }

  @Override
  protected void onOpened() {
    announcer.opened(this, address);
  }

  @Override
  protected void onClosed() {
    announcer.ended(this);
  }

  /** Whether the last report is still unanswered. */
  boolean waiting() {
    return waiting;
  }

  void report(boolean accepting) {
    waiting = true;
    String body = "{\"accepting\":\"" + accepting + "\"}";
    String call =
        "PUT /announce/"
            + name
            + " HTTP/1.1\r\nHost: announce\r\nContent-Type: application/json\r\n"
            + "Content-Length: "
            + body.length()
            + END_OF_HEAD
            + body;
    ByteBuf out = allocate(call.length());
    out.writeCharSequence(call, StandardCharsets.US_ASCII);
    count("reports");
    send(out);
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    String text = in.toString(StandardCharsets.ISO_8859_1);
    int end = text.indexOf(END_OF_HEAD);
    if (end < 0) {
      return false;
    }
    String[] lines = text.substring(0, end).split("\r\n");
    int status = status(lines[0]);
    int length = 0;
    boolean closes = false;
    for (String line : lines) {
      String field = line.toLowerCase(Locale.ROOT);
      if (field.startsWith("content-length:")) {
        length = whole(field.substring("content-length:".length()).strip());
      } else if (field.startsWith("connection:")) {
        closes = field.contains("close");
      } else if (field.startsWith("transfer-encoding:")) {
        closes = true; // no answer of the announce service has a body; its end is not looked for
      }
    }
    int whole = end + END_OF_HEAD.length() + (status == NO_CONTENT ? 0 : length);
    if (text.length() < whole && !closes) {
      return false;
    }
    in.skipBytes(Math.min(whole, text.length()));
    waiting = false;
    count("answered-" + (status == NO_CONTENT ? "" + NO_CONTENT : "other"));
    if (closes) {
      announcer.ended(this);
      close(CloseReason.ASKED, "");
    }
    return true;
  }

  private static int status(String line) throws ProtocolException {
    String[] words = line.split(" ");
    if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
      throw new ProtocolException(CloseReason.MALFORMED, "no status line");
    }
    return whole(words[1]);
  }

  private static int whole(String text) throws ProtocolException {
    try {
      int value = Integer.parseInt(text);
      if (value >= 0 && value <= MOST_ANSWER) {
        return value;
      }
    } catch (NumberFormatException notOne) {
      // falls through to the complaint
    }
    throw new ProtocolException(CloseReason.MALFORMED, "a number is out of range");
  }
}
