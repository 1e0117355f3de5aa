package mothwing.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import mothwing.net.CloseReason;
import mothwing.net.ProtocolException;

/** Encodes load reports as HTTP/1.1 requests and decodes their responses. */
final class LoadReportProtocol {
  /** The maximum length of a response, and the maximum of each number in its header section. */
  static final int MAX_RESPONSE_BYTES = 8 << 10;

  private static final String LINE_END = "\r\n";
  private static final String HEAD_END = "\r\n\r\n";
  private static final int NO_CONTENT_STATUS = 204;

  /**
   * A response to a report.
   *
   * @param status the HTTP status
   * @param isLast whether the connection can carry no further report
   */
  record Response(int status, boolean isLast) {
    /** Returns whether the report was accepted. */
    boolean isAccepted() {
      return status == NO_CONTENT_STATUS;
    }
  }

  /**
   * The header section of a response.
   *
   * @param status the HTTP status
   * @param contentBytes the length of the body
   * @param isLast whether the connection is closed after the response
   */
  private record Head(int status, int contentBytes, boolean isLast) {}

  private LoadReportProtocol() {}

  /**
   * Encodes a report.
   *
   * @param name the name of this server
   * @param accepting whether this server accepts requests
   */
  static String encodeReport(String name, boolean accepting) {
    String body = "{\"accepting\":\"" + accepting + "\"}";
    return "PUT /announce/"
        + name
        + " HTTP/1.1"
        + LINE_END
        + "Host: announce"
        + LINE_END
        + "Content-Type: application/json"
        + LINE_END
        + "Content-Length: "
        + body.length()
        + HEAD_END
        + body;
  }

  /**
   * Reads the next response and skips its body.
   *
   * @param in the received bytes; not consumed until a response is complete
   * @return the response, or empty while it is incomplete
   * @throws ProtocolException if the response is malformed
   */
  static Optional<Response> readResponse(ByteBuf in) throws ProtocolException {
    String text = in.toString(StandardCharsets.ISO_8859_1);
    int headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) {
      return Optional.empty();
    }
    Head head = parseHead(text.substring(0, headEnd).split(LINE_END));
    int bodyBytes = head.status() == NO_CONTENT_STATUS ? 0 : head.contentBytes();
    int responseBytes = headEnd + HEAD_END.length() + bodyBytes;
    if (text.length() < responseBytes && !head.isLast()) {
      return Optional.empty();
    }
    in.skipBytes(Math.min(responseBytes, text.length()));
    return Optional.of(new Response(head.status(), head.isLast()));
  }

  private static Head parseHead(String[] lines) throws ProtocolException {
    int status = parseStatus(lines[0]);
    int contentBytes = 0;
    boolean isLast = false;
    for (String line : lines) {
      String field = line.toLowerCase(Locale.ROOT);
      if (field.startsWith("content-length:")) {
        contentBytes = parseNumber(field.substring("content-length:".length()).strip());
      } else if (field.startsWith("connection:")) {
        isLast = field.contains("close");
      } else if (field.startsWith("transfer-encoding:")) {
        // Transfer encodings are not decoded, so the end of the body is unknown; the connection
        // carries no further report.
        isLast = true;
      }
    }
    return new Head(status, contentBytes, isLast);
  }

  private static int parseStatus(String line) throws ProtocolException {
    String[] parts = line.split(" ");
    if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
      throw new ProtocolException(CloseReason.MALFORMED, "missing or malformed status line");
    }
    return parseNumber(parts[1]);
  }

  private static int parseNumber(String text) throws ProtocolException {
    try {
      int value = Integer.parseInt(text);
      if (value >= 0 && value <= MAX_RESPONSE_BYTES) {
        return value;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below, like a number out of range.
    }
    throw new ProtocolException(
        CloseReason.MALFORMED,
        "a number in the response header section is invalid or out of range");
  }
}
