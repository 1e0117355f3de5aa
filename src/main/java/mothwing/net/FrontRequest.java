package mothwing.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Broker;
import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;

/**
 * A request of a front from its first byte to its answer: what every front does alike with a
 * complete request. Answers are a status, header fields and content; the front writes them in its
 * own protocol.
 */
public abstract class FrontRequest implements ResponseSink {
  private static final String HEALTH_CHECK_PATH = "/ping";
  private static final String COUNTERS_PATH = "/counts";
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final byte[] NO_CONTENT = new byte[0];

  private final Broker broker;
  private Exchange exchange;

  /**
   * Makes the state of a request.
   *
   * @param broker takes it
   */
  protected FrontRequest(Broker broker) {
    this.broker = broker;
  }

  /**
   * Writes the answer. Only the first one may leave.
   *
   * @param status its status
   * @param headers its header fields
   * @param content its content
   */
  protected abstract void write(int status, List<Header> headers, byte[] content);

  /**
   * Counts a request that could not be understood.
   *
   * @param code the reason
   */
  protected abstract void countInvalid(String code);

  /**
   * Hands a complete request to the broker, or answers it here.
   *
   * @param path the path it was sent to
   * @param query its query string
   * @param fields its fields
   * @param body its body
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
   * Answers a request that could not be understood.
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

  /** Cancels the request: its caller has disconnected or aborted it. */
  public final void cancel() {
    if (exchange != null) {
      broker.cancelled(exchange);
    }
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
  public final void sendRejection(boolean last, long retryAfterMillis) {
    answer(UNAVAILABLE, Headers.rejection(last, retryAfterMillis), NO_CONTENT);
  }

  @Override
  public final void sendFailure(String code) {
    answer(INTERNAL_ERROR, List.of(), code.getBytes(StandardCharsets.ISO_8859_1));
  }
}
