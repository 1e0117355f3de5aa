package mothwing.dns.server;

import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;
import org.xbill.DNS.Rcode;

/**
 * A message that is owed one answer, between the front that read it and the engine that answers it.
 */
final class DnsRequest implements ResponseSink {
  /** The way back. */
  interface Way {
    /** Sends an answer. */
    void send(DnsRequest request, byte[] answer);
  }

  private final Query query;
  private final int limit;
  private final Way way;
  private String id;
  private Exchange exchange;
  private long startedAt;

  /** A message, the most bytes that its answer may have, and the way back. */
  DnsRequest(Query query, int limit, Way way) {
    this.query = query;
    this.limit = limit;
    this.way = way;
  }

  Query query() {
    return query;
  }

  int limit() {
    return limit;
  }

  /** Its name with the broker, or null where it was answered without it. */
  String id() {
    return id;
  }

  void id(String now) {
    id = now;
  }

  Exchange exchange() {
    return exchange;
  }

  void exchange(Exchange now) {
    exchange = now;
  }

  long startedAt() {
    return startedAt;
  }

  void started(long now) {
    startedAt = now;
  }

  /** Answers with an error and a few words on it for whoever speaks EDNS. */
  void error(int rcode, int ede, String text) {
    way.send(this, AnswerWriter.error(query, rcode, ede, text, limit));
  }

  @Override
  public void sendResult(byte[] result) {
    way.send(this, result);
  }

  @Override
  public void sendRejection(boolean last, long holdOffMs) {
    error(Rcode.REFUSED, AnswerWriter.OTHER, "overloaded");
  }

  @Override
  public void sendFailure(String code) {
    error(Rcode.SERVFAIL, AnswerWriter.OTHER, code);
  }
}
