package mothwing.broker;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import mothwing.control.RunOutcome;

/**
 * Which try of a guarded request stands for its idempotency key, and how its run ended. Keys are
 * those of a tenant and a class: nobody is given the result of another's request. An entry whose
 * run may have begun outlives its window by a moment, as a repeat counts by when it came and may be
 * read later; one whose try ended without a run is not there any more. Bounded in number and bytes;
 * over that nothing new may be kept, and nothing new is run.
 */
final class IdempotencyKeys {
  /** Most entries. */
  static final int MOST = 4096;

  /** Most bytes of all results, those still to come counted as the largest that a pool gives. */
  static final int MOST_BYTES = 6 << 20;

  private static final int LARGEST = 4 << 10; // a result, by the protocol

  /** Microseconds past its window in which a repeat may still be read. */
  static final long READ_LATE = 10_000_000;

  /** A try and its run. */
  static final class Entry {
    private final String key;
    private final String id;
    private final byte[] digest;
    private Exchange holder; // null once its run is over
    private long until;
    private boolean begun;
    private RunOutcome end;
    private byte[] result;
    private int bytes = LARGEST;

    private Entry(String key, Exchange holder, byte[] digest) {
      this.key = key;
      this.holder = holder;
      id = holder.request().id();
      this.digest = digest;
    }

    /** The try that stands for its key. */
    String id() {
      return id;
    }

    /** Whether its run was begun, or may have been. */
    boolean begun() {
      return begun;
    }

    /** Whether an end is still to come: it is open, or its run goes on. */
    boolean pending() {
      return holder != null && (holder.isPending() || holder.isInPool());
    }

    /** What a good run made, or null: it did not end well, or its result found no room. */
    byte[] result() {
      return end == RunOutcome.SUCCEEDED ? result : null;
    }

    /** Whether a repeat asks for the same. */
    boolean sameBody(Exchange repeat) {
      return MessageDigest.isEqual(digest, digest(repeat));
    }

    /** Whether it still stands for its key: the try is open, or its run was begun. */
    private boolean stands() {
      return begun || pending();
    }
  }

  private final Map<String, Entry> all = new LinkedHashMap<>();
  private int bytes;

  /** The key of a try with all that it belongs to. */
  static String key(Exchange one) {
    return one.request().tenant()
        + '\n'
        + one.request().className()
        + '\n'
        + one.request().idempotencyKey();
  }

  private static byte[] digest(Exchange one) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(one.request().body());
    } catch (NoSuchAlgorithmException none) {
      throw new IllegalStateException(none); // every Java runtime has it
    }
  }

  /**
   * The entry that a try repeats: its window was open when this one reached the machine; or null.
   */
  Entry repeated(Exchange one) {
    Entry entry = one.hasIdempotencyKey() ? all.get(key(one)) : null;
    return entry != null && entry != one.entry() && entry.stands() && one.arrivedAt() < entry.until
        ? entry
        : null;
  }

  /** Whether another try of the same request was run, so that this one must not be. */
  boolean ranBefore(Exchange one) {
    Entry entry = repeated(one);
    return entry != null && entry.begun;
  }

  /** Whether a try has an entry, or there is room for one. */
  boolean room(Exchange one) {
    return !one.hasIdempotencyKey()
        || all.containsKey(key(one))
        || (all.size() < MOST && bytes + LARGEST <= MOST_BYTES);
  }

  /** Lets a try stand for its key until a time at the least. */
  void keep(Exchange one, long until) {
    if (!one.hasIdempotencyKey()) {
      return;
    }
    if (one.entry() == null) {
      Entry before = all.get(key(one));
      if (before != null && before.begun && one.arrivedAt() < before.until) {
        return; // the run stands, whatever is asked
      }
      drop(before);
      Entry entry = new Entry(key(one), one, digest(one));
      one.entry(entry);
      all.put(entry.key, entry);
      bytes += entry.bytes;
    }
    one.entry().until = Math.max(one.entry().until, until);
  }

  /** A try need not stand for its key: it was not run. */
  void forget(Exchange one) {
    if (one.entry() != null && !one.entry().begun) {
      drop(one.entry());
    }
  }

  /** A try is handed to the pool. */
  void begins(Exchange one) {
    keep(one, one.arrivedAt() + one.window());
    if (one.entry() != null) {
      one.entry().begun = true;
    }
  }

  /** The run of a try is over. A result that finds no room is not kept: its repeats fail. */
  void ended(Exchange one, RunOutcome outcome, byte[] result) {
    Entry entry = one.entry();
    if (entry == null) {
      return;
    }
    entry.end = outcome;
    entry.holder = null;
    entry.result =
        outcome == RunOutcome.SUCCEEDED && bytes - entry.bytes + result.length <= MOST_BYTES
            ? result
            : null;
    int size = entry.result == null ? 0 : result.length;
    bytes += all.get(entry.key) == entry ? size - entry.bytes : 0;
    entry.bytes = size;
  }

  private void drop(Entry entry) {
    if (entry != null && all.get(entry.key) == entry) {
      all.remove(entry.key);
      bytes -= entry.bytes;
    }
  }

  /** Forgets what no repeat can ask for any longer. */
  void expire(long now) {
    all.values()
        .removeIf(
            entry -> {
              boolean over = !entry.stands() || (now > entry.until + READ_LATE && !entry.pending());
              bytes -= over ? entry.bytes : 0;
              return over;
            });
  }

  /** How many entries there are. */
  int size() {
    return all.size();
  }
}
