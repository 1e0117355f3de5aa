package mothwing.broker;

/**
 * Sends the answer to a request. For each exchange at most one of these methods is called, once.
 */
public interface ResponseSink {
  /**
   * Answers with the result of the run.
   *
   * @param result its bytes, unchanged
   */
  void sendResult(byte[] result);

  /**
   * Answers that the request was rejected and never ran.
   *
   * @param dontRetry whether the caller should try no other server
   * @param retryAfterMillis milliseconds after which the caller may retry, or 0 for no advice
   */
  void sendRejection(boolean dontRetry, long retryAfterMillis);

  /**
   * Answers that the request failed; it may have taken effect.
   *
   * @param code the reason code to send
   */
  void sendFailure(String code);
}
