package mothwing.broker;

/** The way back to whoever sent a request; each exchange uses one of these answers, once. */
public interface ResponseSink {
  /**
   * The result that the worker pool made for this request.
   *
   * @param result its bytes, unchanged
   */
  void sendResult(byte[] result);

  /**
   * The request never ran.
   *
   * @param last whether no other server should be tried
   * @param holdOffMs how long to stay away, or 0
   */
  void sendRejection(boolean last, long holdOffMs);

  /**
   * The request failed and may have taken effect.
   *
   * @param code the reason
   */
  void sendFailure(String code);
}
