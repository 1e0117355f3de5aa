package mothwing.dependency;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import mothwing.control.RunOutcome;
import mothwing.net.CloseReason;
import mothwing.net.ProtocolException;

/**
 * The codec of the dependency's protocol, which consists of lines, some of them followed by a block
 * of bytes. Encodes calls and decodes answers. No other class depends on the names in the protocol.
 */
final class DependencyProtocol {
  /** Bounds a result, which has to fit into one line of the pool's protocol. */
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

  /** An upper bound on the bytes of a line and the end of the block after it. */
  static int lineBytes(String line) {
    return line.length() + 2 * LINE_END.length();
  }

  /** The line that makes a call; the content follows as a block. */
  static String callLine(String requestId, long timeoutMillis, int contentBytes) {
    return CALL_COMMAND + " " + requestId + " " + timeoutMillis + " " + contentBytes;
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

  /** Writes the block of bytes that follows a line. */
  static void writeBlock(byte[] block, ByteBuf out) {
    out.writeBytes(block);
    out.writeCharSequence(LINE_END, StandardCharsets.US_ASCII);
  }

  /**
   * Reads the next answer.
   *
   * @param in the received bytes; unchanged unless an answer is complete
   * @return the answer, or empty if it is incomplete
   * @throws ProtocolException if the answer is malformed or exceeds a bound
   */
  static Optional<Answer> readAnswer(ByteBuf in) throws ProtocolException {
    int length = in.bytesBefore((byte) '\n');
    if (length < 0 && in.readableBytes() <= MAX_LINE_BYTES) {
      return Optional.empty();
    } else if (length < 0 || length > MAX_LINE_BYTES) {
      throw new ProtocolException(
          CloseReason.OVERSIZED, "answer line longer than " + MAX_LINE_BYTES + " bytes");
    }
    String line = in.toString(in.readerIndex(), length, StandardCharsets.US_ASCII).stripTrailing();
    String[] fields = line.split(" ");
    if (fields.length < 2) {
      throw malformed("answer has no outcome");
    }
    RunOutcome outcome = OUTCOMES.get(fields[1]);
    int lineBytes = length + 1;
    if (outcome != RunOutcome.SUCCEEDED) {
      in.skipBytes(lineBytes);
      if (outcome == null) {
        throw malformed("unknown outcome of a call: " + fields[1]);
      }
      return Optional.of(new Answer(fields[0], outcome, null));
    }
    int resultBytes = resultBytes(fields);
    if (in.readableBytes() < lineBytes + resultBytes + LINE_END.length()) {
      return Optional.empty();
    }
    in.skipBytes(lineBytes);
    return Optional.of(new Answer(fields[0], outcome, readBlock(in, resultBytes)));
  }

  private static byte[] readBlock(ByteBuf in, int bytes) throws ProtocolException {
    byte[] block = new byte[bytes];
    in.readBytes(block);
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw malformed("result block is not followed by CRLF");
    }
    return block;
  }

  private static int resultBytes(String[] fields) throws ProtocolException {
    try {
      int bytes = Integer.parseInt(fields.length == 3 ? fields[2] : "");
      if (bytes >= 0 && bytes <= MAX_RESULT_BYTES) {
        return bytes;
      }
    } catch (NumberFormatException notANumber) {
      // reported below, like a number out of range
    }
    throw malformed("result length is missing or out of range");
  }

  private static ProtocolException malformed(String detail) {
    return new ProtocolException(CloseReason.MALFORMED, detail);
  }
}
