package mothwing.broker;

/**
 * Takes the answer to a request; each exchange calls exactly one of these methods, at most once.
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
   * @param finalAnswer whether no other server should be tried
   * @param retryAfterMillis milliseconds before the caller should return, or 0
   */
  void sendRejection(boolean finalAnswer, long retryAfterMillis);

  /**
   * Answers that the request failed; it may have taken effect.
   *
   * @param code the reason, as it is sent
   */
  void sendFailure(String code);
}
