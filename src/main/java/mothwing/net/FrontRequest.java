package mothwing.net;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Broker;
import mothwing.broker.Exchange;
import mothwing.broker.InboundRequest;
import mothwing.broker.ResponseSink;

/**
 * A request of a front from its first byte to its answer: what both fronts do alike with a request
 * that was read whole. Answers are a status, fields and content; how they are written is the
 * front's own.
 */
public abstract class FrontRequest implements ResponseSink {
  private static final byte[] NOTHING = new byte[0];

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
   * @param fields its fields, names with values
   * @param content its content
   */
  protected abstract void write(int status, List<String[]> fields, byte[] content);

  /**
   * Counts a request that could not be understood.
   *
   * @param code the reason
   */
  protected abstract void rejected(String code);

  /**
   * Hands a request that was read whole to the broker, or answers it here.
   *
   * @param path the path it was sent to
   * @param query its query string
   * @param fields its fields
   * @param body its body
   */
  protected final void handle(
      String path, String query, InboundRequest.Fields fields, byte[] body) {
    if (path.equals("/ping")) {
      broker.healthCheck(
          Headers.probes(query), good -> answer(good ? 200 : 503, List.of(), NOTHING));
      return;
    }
    if (path.equals("/counts")) {
      answer(200, List.of(), (broker.counts() + "\n").getBytes(StandardCharsets.UTF_8));
      return;
    }
    long advice = broker.retryAfterIfOverloaded(path);
    if (advice >= 0) {
      sendRejection(false, advice);
      return;
    }
    try {
      exchange = broker.submit(fields.toRequest(path, body), this);
    } catch (InboundRequest.InvalidRequestException bad) {
      reject(bad.getMessage());
    }
  }

  /**
   * Fails a request that could not be understood.
   *
   * @param code the reason
   */
  protected final void reject(String code) {
    rejected(code);
    answer(
        code.startsWith("oversized") ? 413 : 400,
        List.of(),
        code.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Its caller has left. */
  public final void cancel() {
    if (exchange != null) {
      broker.cancelled(exchange);
    }
  }

  private void answer(int status, List<String[]> more, byte[] content) {
    List<String[]> fields = new ArrayList<>(more);
    broker.freeValue().ifPresent(value -> fields.add(Headers.feedback(value)));
    fields.add(new String[] {"Content-Type", "application/octet-stream"});
    fields.add(new String[] {"Content-Length", Integer.toString(content.length)});
    write(status, fields, content);
  }

  @Override
  public final void sendResult(byte[] result) {
    answer(200, List.of(), result);
  }

  @Override
  public final void sendRejection(boolean last, long holdOffMs) {
    answer(503, Headers.refusal(last, holdOffMs), NOTHING);
  }

  @Override
  public final void sendFailure(String code) {
    answer(500, List.of(), code.getBytes(StandardCharsets.ISO_8859_1));
  }
}
