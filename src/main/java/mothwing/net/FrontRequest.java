package mothwing.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Broker;
import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;

/**
 * A request of a front, from its first byte to its answer. Handles a complete request in the same
 * way for all fronts. An answer consists of a status, header fields and content, which each front
 * writes in its own protocol.
 */
public abstract class FrontRequest implements ResponseSink {
  private static final String HEALTH_CHECK_PATH = "/ping";
  private static final String COUNTERS_PATH = "/counts";
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final String CONNECTION_CLOSED_CODE = "connection-closed";
  private static final byte[] NO_CONTENT = new byte[0];

  private final Broker broker;
  private Exchange exchange;

  /**
   * Creates the state of a request.
   *
   * @param broker the broker that handles the request
   */
  protected FrontRequest(Broker broker) {
    this.broker = broker;
  }

  /**
   * Writes the answer. Does nothing if an answer was written before.
   *
   * @param status the status
   * @param headers the header fields
   * @param content the content
   */
  protected abstract void write(int status, List<Header> headers, byte[] content);

  /**
   * Counts an invalid request.
   *
   * @param code the reason
   */
  protected abstract void countInvalid(String code);

  /**
   * Submits a complete request to the broker. Health checks, queries for counters and requests shed
   * by an overloaded process are answered here.
   *
   * @param path the path of the request
   * @param query the query string
   * @param fields the request fields
   * @param body the body
   */
  protected final void handle(String path, String query, RequestFields fields, byte[] body) {
    if (path.equals(HEALTH_CHECK_PATH)) {
      broker.healthCheck(
          Headers.isActiveHealthCheck(query),
          healthy -> answer(healthy ? OK : UNAVAILABLE, List.of(), NO_CONTENT));
      return;
    }
    if (path.equals(COUNTERS_PATH)) {
      answer(OK, List.of(), (broker.counts() + "\n").getBytes(StandardCharsets.UTF_8));
      return;
    }
    long retryAfterMillis = broker.retryAfterIfOverloaded(path);
    if (retryAfterMillis >= 0) {
      sendRejection(false, retryAfterMillis);
      return;
    }
    try {
      exchange = broker.submit(fields.toRequest(path, body), this);
    } catch (InvalidRequestException invalid) {
      reject(invalid.getMessage());
    }
  }

  /**
   * Answers an invalid request.
   *
   * @param code the reason
   */
  protected final void reject(String code) {
    countInvalid(code);
    answer(
        code.startsWith("oversized") ? CONTENT_TOO_LARGE : BAD_REQUEST,
        List.of(),
        code.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Answers an incomplete request whose remainder did not arrive in time. */
  protected final void failIncomplete() {
    String code = CloseReason.HALF_SENT.code();
    countInvalid(code);
    answer(REQUEST_TIMEOUT, List.of(), code.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Rejects an incomplete request because there is no memory for its remainder. */
  protected final void rejectIncomplete() {
    countInvalid(CloseReason.MEMORY.code());
    sendRejection(false, 0);
  }

  /** Cancels the request after its caller has disconnected or aborted it. */
  public final void cancel() {
    if (exchange != null) {
      broker.cancelled(exchange);
    }
  }

  /**
   * Cancels the request and answers it with a failure.
   *
   * @param code the reason
   */
  protected final void cancelWithFailure(String code) {
    cancel();
    sendFailure(code);
  }

  /** Fails the request because this side closes its connection over what followed it there. */
  public final void failAtClose() {
    cancelWithFailure(CONNECTION_CLOSED_CODE);
  }

  private void answer(int status, List<Header> extra, byte[] content) {
    List<Header> headers = new ArrayList<>(extra);
    broker.freeValue().ifPresent(value -> headers.add(Headers.freeValue(value)));
    headers.addAll(Headers.content(content.length));
    write(status, headers, content);
  }

  @Override
  public final void sendResult(byte[] result) {
    answer(OK, List.of(), result);
  }

  @Override
  public final void sendRejection(boolean noOtherServer, long retryAfterMillis) {
    answer(UNAVAILABLE, Headers.rejection(noOtherServer, retryAfterMillis), NO_CONTENT);
  }

  @Override
  public final void sendFailure(String code) {
    answer(INTERNAL_ERROR, List.of(), code.getBytes(StandardCharsets.ISO_8859_1));
  }
}
