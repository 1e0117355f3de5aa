package mothwing.overload;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/** Tracks the remembered idempotency keys, their expiry times and the memory that they hold. */
final class IdempotencyKeyExpiry {
  private record Expiry(long at, String requestId) {}

  private final MemoryBudget memory;
  private final Set<String> keys = new HashSet<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparingLong(Expiry::at));

  IdempotencyKeyExpiry(MemoryBudget memory) {
    this.memory = memory;
  }

  /**
   * Remembers the key of a request.
   *
   * @param requestId the request
   * @param expiresAt expiry time of the key, in microseconds of the controller's clock
   */
  void remember(String requestId, long expiresAt) {
    keys.add(requestId);
    expiries.add(new Expiry(expiresAt, requestId));
    memory.reserve(memory.keyKb());
  }

  /** Forgets the key of a request and returns whether it was still remembered. */
  boolean forget(String requestId) {
    boolean remembered = keys.remove(requestId);
    memory.release(remembered ? memory.keyKb() : 0);
    return remembered;
  }

  /** Forgets the keys that have expired at the given time, in microseconds. */
  void expire(long now) {
    while (!expiries.isEmpty() && expiries.peek().at() <= now) {
      forget(expiries.remove().requestId());
    }
  }
}
