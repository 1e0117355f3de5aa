package mothwing.broker;

/**
 * Answers requests, and counts and logs each answer. Only the first answer of an exchange is sent;
 * further ones have no effect and are not counted.
 */
final class RequestAnswers {
  private final Counters counters;
  private final RateLimitedEventLog requestLog;
  private final RequestStatistics statistics;
  private final DependencyCalls calls;

  RequestAnswers(
      Counters counters,
      RateLimitedEventLog requestLog,
      RequestStatistics statistics,
      DependencyCalls calls) {
    this.counters = counters;
    this.requestLog = requestLog;
    this.statistics = statistics;
    this.calls = calls;
  }

  void complete(Exchange exchange, byte[] result) {
    if (exchange.complete(result)) {
      counters.add(CounterNames.COMPLETED);
      count(exchange, RequestStatistics.End.COMPLETED);
    }
  }

  /**
   * Rejects a request of which nothing ran.
   *
   * @param exchange the request
   * @param reason the reason
   * @param dontRetry whether the caller should try no other server
   * @param retryAfterMillis milliseconds after which to retry, or 0 for no advice
   */
  void reject(Exchange exchange, RejectionReason reason, boolean dontRetry, long retryAfterMillis) {
    if (exchange.reject(dontRetry, retryAfterMillis)) {
      counters.add(CounterNames.REJECTED_PREFIX + reason.code());
      requestLog.write(EventNames.REJECTED, exchange, reason.code());
      count(exchange, RequestStatistics.End.REJECTED);
    }
  }

  /** Fails a request, which may have taken effect; the dependency call of its run is abandoned. */
  void fail(Exchange exchange, FailureReason reason) {
    if (exchange.fail(reason)) {
      calls.abandon(exchange);
      counters.add(CounterNames.FAILED_PREFIX + reason.code());
      requestLog.write(EventNames.FAILED, exchange, reason.code());
      count(exchange, RequestStatistics.End.FAILED);
    }
  }

  private void count(Exchange exchange, RequestStatistics.End end) {
    // counts by unknown class names would fill the statistics
    if (exchange.classIndex() >= 0) {
      statistics.recordEnd(exchange.request().className(), end);
    }
  }
}
