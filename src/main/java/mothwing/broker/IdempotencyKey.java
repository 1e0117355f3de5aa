package mothwing.broker;

/**
 * An idempotency key in the scope of its tenant and class, so that no caller gets the result of a
 * request of another tenant or class.
 *
 * @param tenant the name of the tenant
 * @param className the name of the class
 * @param key the key as the caller sent it
 */
record IdempotencyKey(String tenant, String className, String key) {
  private static final char SEPARATOR = '\n';

  /** The key of a request, which must have one. */
  static IdempotencyKey of(Exchange exchange) {
    InboundRequest request = exchange.request();
    return new IdempotencyKey(request.tenant(), request.className(), request.idempotencyKey());
  }

  /**
   * The text that identifies the key in the claim table. Its format must never change: the table
   * stores a hash of it, and processes of different versions read the table at the same time.
   */
  String claimText() {
    return tenant + SEPARATOR + className + SEPARATOR + key;
  }
}
