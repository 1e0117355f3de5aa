package mothwing.dependency;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.control.RunOutcome;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.ProtocolException;

/**
 * One link to the ledger: calls as lines, each with a block of bytes behind it; answers in any
 * order, by the request's id.
 */
final class DependencyConnection extends Connection {
  /** Most bytes of a result; the pool is to take it in one line. */
  static final int MOST_RESULT = 32 << 10;

  /** Most bytes of an answer's line. */
  static final int MOST_LINE = 256;

  /**
   * Most abandoned calls that may still be answered; over it the link is given up once its calls
   * are over.
   */
  static final int MOST_ABANDONED = 1024;

  private static final String END = "\r\n";

  private final DependencyConnectionManager ledger;
  private final int dial;
  private final Map<String, Long> out =
      new LinkedHashMap<>(); // with when each was posted, the oldest first
  private final Set<String> abandoned = new LinkedHashSet<>();
  private boolean retired;
  private long waitsSince = NEVER;

  DependencyConnection(
      DependencyConnectionManager ledger, int dial, EventLog log, Counters counters) {
    super("ledger", MOST_RESULT + MOST_LINE, log, counters);
    this.ledger = ledger;
    this.dial = dial;
  }

  @Override
  protected void onOpened() {
    ledger.opened(this, dial);
  }

  @Override
  protected void onClosed() {
    List<String> all = new ArrayList<>(out.keySet());
    out.clear();
    ledger.ended(this, all);
  }

  @Override
  public boolean isIdle() {
    return out.isEmpty();
  }

  /**
   * Whether an answer to an earlier call of this request may still come, or no further call is to
   * be made here.
   */
  boolean mayStillAnswer(String id) {
    return isClosed() || abandoned.contains(id) || abandoned.size() >= MOST_ABANDONED;
  }

  void post(String id, long limitMs, byte[] content) {
    out.put(id, ledger.now());
    waitsSince = Math.min(waitsSince, ledger.now());
    say("post " + id + " " + limitMs + " " + content.length, content);
  }

  void abandon(String id) {
    if (out.remove(id) != null) {
      abandoned.add(id);
      say("abandon " + id, null);
      closeIfOver();
    }
  }

  /** Takes no further call. */
  void retire() {
    retired = true;
    closeIfOver();
  }

  /**
   * For how long nothing has been answered though something was asked, whether or not anybody waits
   * for it still.
   */
  long silentFor(long now) {
    return waitsSince == NEVER ? 0 : now - waitsSince;
  }

  private void closeIfOver() {
    if (retired && out.isEmpty()) {
      close(CloseReason.MOVED, "");
    }
  }

  private void say(String line, byte[] block) {
    ByteBuf bytes = allocate(line.length() + 2 * END.length() + (block == null ? 0 : block.length));
    bytes.writeCharSequence(line, StandardCharsets.US_ASCII);
    bytes.writeCharSequence(END, StandardCharsets.US_ASCII);
    if (block != null) {
      bytes.writeBytes(block);
      bytes.writeCharSequence(END, StandardCharsets.US_ASCII);
    }
    send(bytes);
  }

  @Override
  protected boolean decode(ByteBuf in) throws ProtocolException {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MOST_LINE) {
      return false;
    } else if (length < 0 || length > MOST_LINE) {
      throw new ProtocolException(CloseReason.OVERSIZED, "a line of over " + MOST_LINE + " bytes");
    }
    String line = in.toString(in.readerIndex(), length, StandardCharsets.US_ASCII).stripTrailing();
    String[] words = line.split(" ");
    if (words.length < 2) {
      throw new ProtocolException(CloseReason.MALFORMED, "an answer without an outcome");
    }
    byte[] result = null;
    if (words[1].equals("posted")) {
      int size = size(words);
      if (in.readableBytes() < length + 1 + size + END.length()) {
        return false;
      }
      in.skipBytes(length + 1);
      result = new byte[size];
      in.readBytes(result);
      if (in.readByte() != '\r' || in.readByte() != '\n') {
        throw new ProtocolException(
            CloseReason.MALFORMED, "a result that does not end where it should");
      }
    } else {
      in.skipBytes(length + 1);
    }
    answered(words[0], outcome(words[1]), result);
    return true;
  }

  private void answered(String id, RunOutcome outcome, byte[] result) {
    waitsSince = out.size() + abandoned.size() > 1 ? ledger.now() : NEVER;
    Long since = out.remove(id);
    if (since != null) {
      ledger.over(id, outcome, result, ledger.now() - since);
      closeIfOver();
    } else {
      count(abandoned.remove(id) ? "answered-late" : "answered-unasked");
    }
  }

  private static RunOutcome outcome(String word) throws ProtocolException {
    return switch (word) {
      case "posted" -> RunOutcome.SUCCEEDED;
      case "queue_full" -> RunOutcome.REJECTED;
      case "error" -> RunOutcome.FAILED;
      case "expired" -> RunOutcome.TIMED_OUT;
      case "moot" -> RunOutcome.NOT_STARTED;
      default -> throw new ProtocolException(CloseReason.MALFORMED, "a call ended as " + word);
    };
  }

  private static int size(String[] words) throws ProtocolException {
    try {
      int size = Integer.parseInt(words.length == 3 ? words[2] : "none");
      if (size >= 0 && size <= MOST_RESULT) {
        return size;
      }
    } catch (NumberFormatException notOne) {
      // falls through to the complaint
    }
    throw new ProtocolException(
        CloseReason.MALFORMED, "a result's length is missing or out of range");
  }
}
