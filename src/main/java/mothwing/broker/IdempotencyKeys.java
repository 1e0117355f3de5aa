package mothwing.broker;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import mothwing.control.RunOutcome;

/**
 * The table of idempotency keys: the original request of each key, and how its run ended. An entry
 * whose run may have started is kept for a while after its window, because a repeat counts by its
 * arrival time and may be read later. An entry whose request ended without a run is dropped. The
 * table is bounded in entries and bytes: when it is full no further key is stored, and no request
 * with a new key is run.
 */
final class IdempotencyKeys {
  /** The maximum number of entries. */
  static final int MAX_ENTRIES = 4096;

  /**
   * Bounds the bytes of all results; a pending result counts as the largest that a pool returns.
   */
  static final int MAX_TOTAL_RESULT_BYTES = 6 << 20;

  /** The largest result that the protocol of the pool allows. */
  private static final int MAX_SINGLE_RESULT_BYTES = 4 << 10;

  /** The time after the end of its window in which a repeat may still be read. */
  static final long READ_DELAY_MICROS = 10_000_000;

  /** The original request of a key, and its run. */
  static final class Entry {
    private final IdempotencyKey key;
    private final String originalId;
    private final byte[] bodyDigest;

    /** Null after the end of its run, so that it can be garbage-collected. */
    private Exchange original;

    private long expiresAt;
    private boolean runStarted;

    /** Null unless the run succeeded and there was room for its result. */
    private byte[] result;

    private int reservedBytes = MAX_SINGLE_RESULT_BYTES;

    private Entry(IdempotencyKey key, Exchange original) {
      this.key = key;
      this.original = original;
      originalId = original.request().id();
      bodyDigest = digestOfBody(original);
    }

    /** The id of the original request. */
    String originalId() {
      return originalId;
    }

    /** Whether the run was started, or may have been. */
    boolean isRunStarted() {
      return runStarted;
    }

    /** Whether the original has not ended: its answer is pending, or the pool has its run. */
    boolean isUnfinished() {
      return original != null && (original.isPending() || original.isInPool());
    }

    /**
     * The result of the run; null unless the run has succeeded and there was room for its result.
     */
    byte[] result() {
      return result;
    }

    /** Whether a repeat has the same body as the original. */
    boolean hasSameBody(Exchange repeat) {
      return MessageDigest.isEqual(bodyDigest, digestOfBody(repeat));
    }

    private boolean isValid() {
      return runStarted || isUnfinished();
    }
  }

  private final Map<IdempotencyKey, Entry> entries = new LinkedHashMap<>();
  private int reservedBytes;

  private static byte[] digestOfBody(Exchange exchange) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(exchange.request().body());
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("every Java runtime must provide SHA-256", impossible);
    }
  }

  /** The entry of the original whose window the request arrived in, or null if it repeats none. */
  Entry findOriginal(Exchange exchange) {
    if (!exchange.hasIdempotencyKey()) {
      return null;
    }
    Entry entry = entries.get(IdempotencyKey.of(exchange));
    boolean repeats =
        entry != null
            && entry != exchange.idempotencyEntry()
            && entry.isValid()
            && exchange.arrivedAt() < entry.expiresAt;
    return repeats ? entry : null;
  }

  /** Whether the original of a request was run, so that the request itself must not be. */
  boolean originalRan(Exchange exchange) {
    Entry entry = findOriginal(exchange);
    return entry != null && entry.runStarted;
  }

  /**
   * Whether there is room for the entry of a request, or it needs none: it has no key, or its key
   * has an entry.
   */
  boolean hasRoom(Exchange exchange) {
    return !exchange.hasIdempotencyKey()
        || entries.containsKey(IdempotencyKey.of(exchange))
        || (entries.size() < MAX_ENTRIES
            && reservedBytes + MAX_SINGLE_RESULT_BYTES <= MAX_TOTAL_RESULT_BYTES);
  }

  /**
   * Makes a request the original of its key, at least until a time of the monotonic clock. An
   * original that was run is not replaced within its window.
   */
  void remember(Exchange exchange, long minExpiresAt) {
    if (!exchange.hasIdempotencyKey()) {
      return;
    }
    if (exchange.idempotencyEntry() == null) {
      IdempotencyKey key = IdempotencyKey.of(exchange);
      Entry previous = entries.get(key);
      if (previous != null && previous.runStarted && exchange.arrivedAt() < previous.expiresAt) {
        return;
      }
      drop(previous);
      Entry entry = new Entry(key, exchange);
      exchange.setIdempotencyEntry(entry);
      entries.put(key, entry);
      reservedBytes += entry.reservedBytes;
    }
    Entry entry = exchange.idempotencyEntry();
    entry.expiresAt = Math.max(entry.expiresAt, minExpiresAt);
  }

  /** Drops the entry of a request, unless its run was started. */
  void forget(Exchange exchange) {
    Entry entry = exchange.idempotencyEntry();
    if (entry != null && !entry.runStarted) {
      drop(entry);
    }
  }

  /** Records that a request is handed to the pool. */
  void runStarted(Exchange exchange) {
    remember(exchange, exchange.arrivedAt() + exchange.idempotencyWindow());
    if (exchange.idempotencyEntry() != null) {
      exchange.idempotencyEntry().runStarted = true;
    }
  }

  /** Records the end of a run. If there is no room for its result, the repeats of it fail. */
  void runEnded(Exchange exchange, RunOutcome outcome, byte[] result) {
    Entry entry = exchange.idempotencyEntry();
    if (entry == null) {
      return;
    }
    entry.original = null;
    boolean keepsResult =
        outcome == RunOutcome.SUCCEEDED
            && reservedBytes - entry.reservedBytes + result.length <= MAX_TOTAL_RESULT_BYTES;
    entry.result = keepsResult ? result : null;
    int resultBytes = keepsResult ? result.length : 0;
    if (entries.get(entry.key) == entry) {
      reservedBytes += resultBytes - entry.reservedBytes;
    }
    entry.reservedBytes = resultBytes;
  }

  private void drop(Entry entry) {
    if (entry != null && entries.get(entry.key) == entry) {
      entries.remove(entry.key);
      reservedBytes -= entry.reservedBytes;
    }
  }

  /** Drops the entries that no repeat can refer to any longer. */
  void expire(long now) {
    entries.values().removeIf(entry -> expire(entry, now));
  }

  private boolean expire(Entry entry, long now) {
    boolean pastWindow = now > entry.expiresAt + READ_DELAY_MICROS && !entry.isUnfinished();
    boolean expired = !entry.isValid() || pastWindow;
    reservedBytes -= expired ? entry.reservedBytes : 0;
    return expired;
  }
}
