package mothwing.pool;

import java.util.Optional;
import mothwing.control.RunOutcome;
import mothwing.net.ProtocolException;

/** A decoded notice of the worker pool. */
sealed interface PoolNotice {
  /**
   * The kind of a notice, known before its fields are decoded, with its suffix in counter names.
   */
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
   * Reports that the pool has accepted the connection; the missed notices follow.
   *
   * @param coldStart whether the pool reports a fresh start, so that a slow start is needed
   * @param ageMicros microseconds since the start of the pool
   */
  record Connected(boolean coldStart, long ageMicros) implements PoolNotice {}

  /**
   * Reports that a run has ended.
   *
   * @param requestId the request
   * @param outcome how it ended
   * @param durationMicros its duration in microseconds
   * @param result the result, or null unless it succeeded
   */
  record RunEnded(String requestId, RunOutcome outcome, long durationMicros, byte[] result)
      implements PoolNotice {}

  /**
   * Reports that a run has ended in a notice that cannot be decoded: the result is lost.
   *
   * @param requestId the request
   * @param cause the error in decoding the notice
   */
  record UnreadableRunEnd(String requestId, Exception cause) implements PoolNotice {}

  /**
   * Reports that a run is suspended until its dependency call has a result.
   *
   * @param requestId the request
   * @param content the content of the call
   */
  record RunAwaitsCall(String requestId, byte[] content) implements PoolNotice {}

  /**
   * Reports the gauges that the broker requested with this echo.
   *
   * @param echo the echo of the command
   * @param values the gauges
   */
  record Gauges(String echo, double[] values) implements PoolNotice {}

  /**
   * Reports that a health check has ended.
   *
   * @param echo the echo of the command
   * @param succeeded whether the pool did the work
   */
  record HealthCheckEnded(String echo, boolean succeeded) implements PoolNotice {}

  /**
   * Reports that the pool did not carry out a command.
   *
   * @param command the command's name on the wire, for the log
   * @param isStart whether the command was to start a run
   * @param requestId the request, if the notice names it
   */
  record CommandRefused(String command, boolean isStart, Optional<String> requestId)
      implements PoolNotice {
    /**
     * The request whose run was not started.
     *
     * @throws ProtocolException if the notice does not name it
     */
    String startedRequest() throws ProtocolException {
      return requestId.orElseThrow(PoolProtocol::missingRequest);
    }
  }

  /** A notice that needs no action. */
  record NoAction() implements PoolNotice {}
}
