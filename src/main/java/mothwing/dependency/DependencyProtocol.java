package mothwing.dependency;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import mothwing.control.RunOutcome;
import mothwing.net.CloseReason;
import mothwing.net.ProtocolException;

/**
 * The codec of the dependency's wire: lines, some with a block of bytes behind them. Encodes calls
 * and decodes answers; the wire's words occur in this class alone.
 */
final class DependencyProtocol {
  /** Bounds a result; the pool must be able to take it in one line. */
  static final int MAX_RESULT_BYTES = 32 << 10;

  /** Bounds the line of an answer. */
  static final int MAX_LINE_BYTES = 256;

  private static final String LINE_END = "\r\n";

  private static final String CALL_COMMAND = "post";
  private static final String ABANDON_COMMAND = "abandon";

  private static final Map<String, RunOutcome> OUTCOMES =
      Map.of(
          "posted", RunOutcome.SUCCEEDED,
          "queue_full", RunOutcome.REJECTED,
          "error", RunOutcome.FAILED,
          "expired", RunOutcome.TIMED_OUT,
          "moot", RunOutcome.NOT_STARTED);

  /**
   * The answer to a call.
   *
   * @param requestId the request that made the call
   * @param outcome how the call ended
   * @param result the result, or null unless it succeeded
   */
  record Answer(String requestId, RunOutcome outcome, byte[] result) {}

  private DependencyProtocol() {}

  /** The most bytes that a line takes, with the end of a block behind it. */
  static int lineBytes(String line) {
    return line.length() + 2 * LINE_END.length();
  }

  /** The line of a call, whose content follows as a block. */
  static String callLine(String requestId, long limitMillis, int contentBytes) {
    return CALL_COMMAND + " " + requestId + " " + limitMillis + " " + contentBytes;
  }

  /** The line that abandons a call. */
  static String abandonLine(String requestId) {
    return ABANDON_COMMAND + " " + requestId;
  }

  /** Writes a line. */
  static void writeLine(String line, ByteBuf out) {
    out.writeCharSequence(line, StandardCharsets.US_ASCII);
    out.writeCharSequence(LINE_END, StandardCharsets.US_ASCII);
  }

  /** Writes a block of bytes behind its line. */
  static void writeBlock(byte[] block, ByteBuf out) {
    out.writeBytes(block);
    out.writeCharSequence(LINE_END, StandardCharsets.US_ASCII);
  }

  /**
   * Reads the next answer.
   *
   * @param in what has arrived; left as it is until an answer is complete
   * @return the answer, or none while it is incomplete
   * @throws ProtocolException where it is malformed or exceeds a bound
   */
  static Optional<Answer> readAnswer(ByteBuf in) throws ProtocolException {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MAX_LINE_BYTES) {
      return Optional.empty();
    } else if (length < 0 || length > MAX_LINE_BYTES) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "a line of over " + MAX_LINE_BYTES + " bytes");
    }
    String line = in.toString(in.readerIndex(), length, StandardCharsets.US_ASCII).stripTrailing();
    String[] words = line.split(" ");
    if (words.length < 2) {
      throw malformed("an answer without an outcome");
    }
    RunOutcome outcome = OUTCOMES.get(words[1]);
    int lineBytes = length + 1;
    if (outcome != RunOutcome.SUCCEEDED) {
      in.skipBytes(lineBytes);
      if (outcome == null) {
        throw malformed("a call ended as " + words[1]);
      }
      return Optional.of(new Answer(words[0], outcome, null));
    }
    int resultBytes = resultBytes(words);
    if (in.readableBytes() < lineBytes + resultBytes + LINE_END.length()) {
      return Optional.empty();
    }
    in.skipBytes(lineBytes);
    return Optional.of(new Answer(words[0], outcome, readBlock(in, resultBytes)));
  }

  private static byte[] readBlock(ByteBuf in, int bytes) throws ProtocolException {
    byte[] block = new byte[bytes];
    in.readBytes(block);
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw malformed("a result that does not end where it should");
    }
    return block;
  }

  private static int resultBytes(String[] words) throws ProtocolException {
    try {
      int bytes = Integer.parseInt(words.length == 3 ? words[2] : "");
      if (bytes >= 0 && bytes <= MAX_RESULT_BYTES) {
        return bytes;
      }
    } catch (NumberFormatException notANumber) {
      // reported below, as a number out of range is
    }
    throw malformed("a result's length is missing or out of range");
  }

  private static ProtocolException malformed(String detail) {
    return new ProtocolException(CloseReason.MALFORMED, detail);
  }
}
