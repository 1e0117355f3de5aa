package mothwing.pool;

import com.google.gson.Gson;
import com.google.gson.stream.JsonReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import mothwing.control.RunOutcome;
import mothwing.net.CloseReason;
import mothwing.net.ProtocolException;
import mothwing.settings.JsonFields;

/**
 * The codec of the worker pool's protocol: one JSON object per line. Encodes commands and decodes
 * notices. No other class depends on the names in the protocol.
 */
final class PoolProtocol {
  /** The echo of the gauge request whose answer proves that all missed notices were read. */
  static final String RESYNC_ECHO = "bind";

  private static final long MICROS_PER_MILLI = 1000;
  private static final Gson GSON = new Gson();

  private static final String ACTION = "action";
  private static final String SEQUENCE = "pos";
  private static final String REQUEST_ID = "uid";
  private static final String CLASS_NAME = "lane";
  private static final String CONTENT = "content";
  private static final String CODE = "code";
  private static final String ECHO = "echo";
  private static final String GAUGES = "meters";
  private static final String WALL_MILLIS = "wall_ms";

  private static final String CONNECT_COMMAND = "bind";
  private static final String START_COMMAND = "spawn";
  private static final String STOP_COMMAND = "suspend";
  private static final String RESUME_COMMAND = "proceed";
  private static final String RESUME_WITH_RESULT_COMMAND = "supply";
  private static final String RESUME_WITHOUT_RESULT_COMMAND = "pass";
  private static final String GAUGES_COMMAND = "poll";
  private static final String HEALTH_CHECK_COMMAND = "verify";

  private static final String FRESH_CODE = "fresh";
  private static final String DONE_CODE = "done";

  private static final Map<String, PoolNotice.Kind> KINDS =
      Map.of(
          "bound", PoolNotice.Kind.CONNECTED,
          "finished", PoolNotice.Kind.RUN_ENDED,
          "blocked", PoolNotice.Kind.RUN_AWAITS_CALL,
          "polled", PoolNotice.Kind.GAUGES,
          "verified", PoolNotice.Kind.HEALTH_CHECK_ENDED,
          "unknown", PoolNotice.Kind.COMMAND_REFUSED,
          "chatter", PoolNotice.Kind.INFORMATION);

  private static final Map<String, RunOutcome> OUTCOMES =
      Map.of(
          DONE_CODE,
          RunOutcome.SUCCEEDED,
          "crashed",
          RunOutcome.FAILED,
          "aborted",
          RunOutcome.STOPPED,
          "stale",
          RunOutcome.NOT_STARTED);

  private PoolProtocol() {}

  // Commands

  /** Opens the session on a connection; the notices after this sequence number are replayed. */
  static String connect(long lastSequence) {
    return "{\""
        + ACTION
        + "\":\""
        + CONNECT_COMMAND
        + "\",\""
        + SEQUENCE
        + "\":"
        + lastSequence
        + "}";
  }

  static String startRun(String requestId, String className, byte[] content) {
    return "{\""
        + ACTION
        + "\":\""
        + START_COMMAND
        + "\",\""
        + REQUEST_ID
        + "\":\""
        + requestId
        + "\",\""
        + CLASS_NAME
        + "\":"
        + GSON.toJson(className)
        + ",\""
        + CONTENT
        + "\":\""
        + Base64.getEncoder().encodeToString(content)
        + "\"}";
  }

  static String stopRun(String requestId) {
    return command(STOP_COMMAND, REQUEST_ID, requestId);
  }

  static String resumeRun(String requestId) {
    return command(RESUME_COMMAND, REQUEST_ID, requestId);
  }

  static String resumeWithResult(String requestId, byte[] result) {
    return "{\""
        + ACTION
        + "\":\""
        + RESUME_WITH_RESULT_COMMAND
        + "\",\""
        + REQUEST_ID
        + "\":\""
        + requestId
        + "\",\""
        + CONTENT
        + "\":\""
        + Base64.getEncoder().encodeToString(result)
        + "\"}";
  }

  static String resumeWithoutResult(String requestId) {
    return command(RESUME_WITHOUT_RESULT_COMMAND, REQUEST_ID, requestId);
  }

  static String requestGauges(String echo) {
    return command(GAUGES_COMMAND, ECHO, echo);
  }

  static String startHealthCheck(String echo) {
    return command(HEALTH_CHECK_COMMAND, ECHO, echo);
  }

  private static String command(String action, String field, String value) {
    return "{\"" + ACTION + "\":\"" + action + "\",\"" + field + "\":\"" + value + "\"}";
  }

  // Notices

  /**
   * Parses the JSON of a notice.
   *
   * @throws IOException if the line is not one JSON object
   */
  static JsonFields parse(String line) throws IOException {
    try (JsonReader reader = new JsonReader(new StringReader(line))) {
      return JsonFields.read(reader);
    }
  }

  /**
   * The kind of a notice.
   *
   * @throws IOException if the notice does not state its action
   */
  static PoolNotice.Kind kind(JsonFields notice) throws IOException {
    return KINDS.getOrDefault(notice.text(ACTION), PoolNotice.Kind.OTHER);
  }

  /** The sequence number of a notice, or 0 if it has none and is not replayed. */
  static long sequence(JsonFields notice) throws IOException {
    return notice.integer(SEQUENCE, 0);
  }

  /**
   * Decodes the fields of a notice. An unreadable end of a run is decoded as {@link
   * PoolNotice.UnreadableRunEnd}, because the run is over nevertheless.
   *
   * @throws IOException if a field is missing or of a wrong type
   * @throws ProtocolException if a value is not valid in the protocol
   */
  static PoolNotice decode(PoolNotice.Kind kind, JsonFields notice)
      throws IOException, ProtocolException {
    return switch (kind) {
      case CONNECTED ->
          new PoolNotice.Connected(notice.text(CODE).equals(FRESH_CODE), wallMicros(notice));
      case RUN_ENDED -> runEnded(notice);
      case RUN_AWAITS_CALL ->
          new PoolNotice.RunAwaitsCall(notice.text(REQUEST_ID), content(notice));
      case GAUGES -> gauges(notice);
      case HEALTH_CHECK_ENDED ->
          new PoolNotice.HealthCheckEnded(
              notice.text(ECHO, ""), notice.text(CODE, "").equals(DONE_CODE));
      case COMMAND_REFUSED -> commandRefused(notice);
      case INFORMATION, OTHER -> new PoolNotice.NoAction();
    };
  }

  private static PoolNotice runEnded(JsonFields notice) throws IOException {
    String requestId = notice.text(REQUEST_ID);
    try {
      String code = notice.text(CODE);
      RunOutcome outcome = OUTCOMES.get(code);
      if (outcome == null) {
        throw new ProtocolException(CloseReason.MALFORMED, "unknown outcome of a run: " + code);
      }
      byte[] result = outcome == RunOutcome.SUCCEEDED ? content(notice) : null;
      return new PoolNotice.RunEnded(requestId, outcome, wallMicros(notice), result);
    } catch (IOException | ProtocolException unreadable) {
      return new PoolNotice.UnreadableRunEnd(requestId, unreadable);
    }
  }

  private static PoolNotice gauges(JsonFields notice) throws IOException {
    String echo = notice.text(ECHO, "");
    return echo.equals(RESYNC_ECHO)
        ? new PoolNotice.NoAction()
        : new PoolNotice.Gauges(echo, notice.numbers(GAUGES));
  }

  private static PoolNotice commandRefused(JsonFields notice) throws IOException {
    String command = notice.text(CODE, "");
    Optional<String> requestId = Optional.ofNullable(notice.text(REQUEST_ID, null));
    return new PoolNotice.CommandRefused(command, command.equals(START_COMMAND), requestId);
  }

  static ProtocolException missingRequest() {
    return new ProtocolException(CloseReason.MALFORMED, "field " + REQUEST_ID + ": required");
  }

  private static long wallMicros(JsonFields notice) throws IOException {
    return notice.integer(WALL_MILLIS, 0) * MICROS_PER_MILLI;
  }

  private static byte[] content(JsonFields notice) throws IOException, ProtocolException {
    try {
      return Base64.getDecoder().decode(notice.text(CONTENT, ""));
    } catch (IllegalArgumentException notBase64) {
      throw new ProtocolException(CloseReason.MALFORMED, CONTENT + " is not base64");
    }
  }
}
