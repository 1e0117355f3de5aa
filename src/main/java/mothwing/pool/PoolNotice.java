package mothwing.pool;

import java.util.Optional;
import mothwing.control.RunOutcome;
import mothwing.net.ProtocolException;

/** A notice of the worker pool, decoded. */
sealed interface PoolNotice {
  /** What a notice is about, known before its fields are decoded, with its word in counters. */
  enum Kind {
    CONNECTED("connected"),
    RUN_ENDED("run-ended"),
    RUN_AWAITS_CALL("run-awaits-call"),
    GAUGES("gauges"),
    HEALTH_CHECK_ENDED("health-check-ended"),
    COMMAND_REFUSED("command-refused"),
    INFORMATION("information"),
    OTHER("other");

    private final String counter;

    Kind(String counter) {
      this.counter = counter;
    }

    String counter() {
      return counter;
    }
  }

  /**
   * The pool has accepted the connection; the missed notices follow.
   *
   * @param freshlyStarted whether its workers had not warmed up when it started
   * @param uptimeMicros microseconds since that start
   */
  record Connected(boolean freshlyStarted, long uptimeMicros) implements PoolNotice {}

  /**
   * A run has ended.
   *
   * @param requestId the request
   * @param outcome how it ended
   * @param wallMicros microseconds that it took
   * @param result the result, or null unless it succeeded
   */
  record RunEnded(String requestId, RunOutcome outcome, long wallMicros, byte[] result)
      implements PoolNotice {}

  /**
   * A run has ended, and the notice of it cannot be decoded: its result is lost.
   *
   * @param requestId the request
   * @param cause what is wrong with the notice
   */
  record UnreadableRunEnd(String requestId, Exception cause) implements PoolNotice {}

  /**
   * A run is suspended until its dependency call has a result.
   *
   * @param requestId the request
   * @param content the content of the call
   */
  record RunAwaitsCall(String requestId, byte[] content) implements PoolNotice {}

  /**
   * The gauges that were requested with a broker's echo.
   *
   * @param echo the echo of the command
   * @param values the gauges
   */
  record Gauges(String echo, double[] values) implements PoolNotice {}

  /**
   * A health check has ended.
   *
   * @param echo the echo of the command
   * @param succeeded whether its work was done
   */
  record HealthCheckEnded(String echo, boolean succeeded) implements PoolNotice {}

  /**
   * The pool did not carry out a command.
   *
   * @param command the command's name on the wire, for the log
   * @param isStart whether the command was to start a run
   * @param requestId the request, where the notice names it
   */
  record CommandRefused(String command, boolean isStart, Optional<String> requestId)
      implements PoolNotice {
    /**
     * The request whose run was not started.
     *
     * @throws ProtocolException where the notice does not name it
     */
    String startedRequest() throws ProtocolException {
      return requestId.orElseThrow(PoolProtocol::missingRequest);
    }
  }

  /** A notice that needs no action. */
  record NoAction() implements PoolNotice {}
}
