package mothwing.broker;

/**
 * An idempotency key with all that it belongs to: nobody is given the result of another tenant's or
 * another class's request.
 *
 * @param tenant the name of the tenant
 * @param className the name of the class
 * @param key the key that the caller gave
 */
record IdempotencyKey(String tenant, String className, String key) {
  private static final char SEPARATOR = '\n';

  /** The key of a request that has one. */
  static IdempotencyKey of(Exchange exchange) {
    InboundRequest request = exchange.request();
    return new IdempotencyKey(request.tenant(), request.className(), request.idempotencyKey());
  }

  /**
   * The text under which processes share the key. It must never change: the claim table, which
   * processes of several versions read at the same time, stores a hash of it.
   */
  String claimText() {
    return tenant + SEPARATOR + className + SEPARATOR + key;
  }
}
