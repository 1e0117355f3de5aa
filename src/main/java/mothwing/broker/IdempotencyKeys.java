package mothwing.broker;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import mothwing.control.RunOutcome;

/**
 * Which request is the original of each idempotency key, and how its run ended. An entry whose run
 * may have begun outlives its window for a while, since a repeat counts by its arrival and may be
 * read later; an entry whose request ended without a run is dropped. Bounded in number and bytes:
 * without room no key is remembered, and no request with a new key is run.
 */
final class IdempotencyKeys {
  /** Entries at the same time. */
  static final int MAX_ENTRIES = 4096;

  /** Bytes of all results; one still to come counts as the largest that a pool gives. */
  static final int MAX_RESULT_BYTES = 6 << 20;

  /** The largest result that the protocol of the pool allows. */
  private static final int LARGEST_RESULT_BYTES = 4 << 10;

  /** How long past its window a repeat may still be read. */
  static final long READ_DELAY_MICROS = 10_000_000;

  /** The original request of a key, and its run. */
  static final class Entry {
    private final IdempotencyKey key;
    private final String originalId;
    private final byte[] bodyDigest;
    private Exchange original; // null once its run is over, so that it can be collected
    private long until;
    private boolean runBegun;
    private byte[] result; // null unless the run succeeded and its result found room
    private int reservedBytes = LARGEST_RESULT_BYTES;

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

    /** Whether the run was begun, or may have been. */
    boolean isRunBegun() {
      return runBegun;
    }

    /** Whether an end is still to come: the original is pending, or its run goes on. */
    boolean isPending() {
      return original != null && (original.isPending() || original.isInPool());
    }

    /** The result of the run; null where it failed, or its result found no room. */
    byte[] result() {
      return result;
    }

    /** Whether a repeat asks for the same as the original. */
    boolean hasSameBody(Exchange repeat) {
      return MessageDigest.isEqual(bodyDigest, digestOfBody(repeat));
    }

    private boolean isValid() {
      return runBegun || isPending();
    }
  }

  private final Map<IdempotencyKey, Entry> entries = new LinkedHashMap<>();
  private int reservedBytes;

  private static byte[] digestOfBody(Exchange exchange) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(exchange.request().body());
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible); // every Java runtime has it
    }
  }

  /** The entry that a request repeats, as it arrived within the window; or null. */
  Entry findOriginal(Exchange exchange) {
    if (!exchange.hasIdempotencyKey()) {
      return null;
    }
    Entry entry = entries.get(IdempotencyKey.of(exchange));
    boolean repeats =
        entry != null
            && entry != exchange.idempotencyEntry()
            && entry.isValid()
            && exchange.arrivedAt() < entry.until;
    return repeats ? entry : null;
  }

  /** Whether the request that this one repeats was run, so that this one must not be. */
  boolean originalRan(Exchange exchange) {
    Entry entry = findOriginal(exchange);
    return entry != null && entry.runBegun;
  }

  /** Whether a request has no key or an entry of its key, or there is room for one. */
  boolean hasRoom(Exchange exchange) {
    return !exchange.hasIdempotencyKey()
        || entries.containsKey(IdempotencyKey.of(exchange))
        || (entries.size() < MAX_ENTRIES
            && reservedBytes + LARGEST_RESULT_BYTES <= MAX_RESULT_BYTES);
  }

  /** Makes a request the original of its key, until a time at least; a run of another stays. */
  void remember(Exchange exchange, long until) {
    if (!exchange.hasIdempotencyKey()) {
      return;
    }
    if (exchange.idempotencyEntry() == null) {
      IdempotencyKey key = IdempotencyKey.of(exchange);
      Entry previous = entries.get(key);
      if (previous != null && previous.runBegun && exchange.arrivedAt() < previous.until) {
        return;
      }
      drop(previous);
      Entry entry = new Entry(key, exchange);
      exchange.setIdempotencyEntry(entry);
      entries.put(key, entry);
      reservedBytes += entry.reservedBytes;
    }
    Entry entry = exchange.idempotencyEntry();
    entry.until = Math.max(entry.until, until);
  }

  /** Drops the entry of a request that was not run. */
  void forget(Exchange exchange) {
    Entry entry = exchange.idempotencyEntry();
    if (entry != null && !entry.runBegun) {
      drop(entry);
    }
  }

  /** A request is handed to the pool. */
  void runStarted(Exchange exchange) {
    remember(exchange, exchange.arrivedAt() + exchange.idempotencyWindow());
    if (exchange.idempotencyEntry() != null) {
      exchange.idempotencyEntry().runBegun = true;
    }
  }

  /** The run of a request has ended. Without room for its result its repeats will fail. */
  void runEnded(Exchange exchange, RunOutcome outcome, byte[] result) {
    Entry entry = exchange.idempotencyEntry();
    if (entry == null) {
      return;
    }
    entry.original = null;
    boolean keepsResult =
        outcome == RunOutcome.SUCCEEDED
            && reservedBytes - entry.reservedBytes + result.length <= MAX_RESULT_BYTES;
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

  /** Drops what no repeat can ask for any longer. */
  void expire(long now) {
    entries.values().removeIf(entry -> expire(entry, now));
  }

  private boolean expire(Entry entry, long now) {
    boolean outOfTime = now > entry.until + READ_DELAY_MICROS && !entry.isPending();
    boolean expired = !entry.isValid() || outOfTime;
    reservedBytes -= expired ? entry.reservedBytes : 0;
    return expired;
  }
}
