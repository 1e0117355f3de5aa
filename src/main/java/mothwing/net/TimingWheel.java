package mothwing.net;

import java.util.function.Consumer;

/**
 * A hashed timing wheel: adds, moves and removes entries with due times at a cost that does not
 * depend on their number. An entry due beyond one revolution of the wheel is skipped once per
 * revolution. Times are microseconds of one clock that never goes back; an entry fires at the first
 * advance at or after its due time.
 */
final class TimingWheel {
  /** An entry, in at most one slot of one wheel. */
  static class Entry {
    private Entry previous;
    private Entry next;
    private long due = Connection.NEVER;

    /** Returns when the entry is due, or {@link Connection#NEVER} if it is in no wheel. */
    final long due() {
      return due;
    }

    private void unlink() {
      previous.next = next;
      next.previous = previous;
      previous = null;
      next = null;
      due = Connection.NEVER;
    }
  }

  private final long tickMicros;
  private final Entry[] slots;
  private long currentTick;
  private int size;

  /**
   * Creates an empty wheel.
   *
   * @param slots the number of slots, a power of 2
   * @param tickMicros microseconds per slot
   * @param now the current time
   */
  TimingWheel(int slots, long tickMicros, long now) {
    this.tickMicros = tickMicros;
    this.currentTick = now / tickMicros;
    this.slots = new Entry[slots];
    for (int i = 0; i < slots; i++) {
      Entry head = new Entry();
      head.previous = head;
      head.next = head;
      this.slots[i] = head;
    }
  }

  /** Adds or moves an entry. An entry that is already due fires at the next advance. */
  void put(Entry entry, long due) {
    remove(entry);
    Entry head = slots[(int) (Math.max(due / tickMicros, currentTick) & (slots.length - 1))];
    entry.due = due;
    entry.previous = head.previous;
    entry.next = head;
    head.previous.next = entry;
    head.previous = entry;
    size++;
  }

  /** Removes an entry, if it is in the wheel. */
  void remove(Entry entry) {
    if (entry.previous != null) {
      entry.unlink();
      size--;
    }
  }

  /** Returns the number of entries. */
  int size() {
    return size;
  }

  /**
   * Removes all entries that are due and fires them, in no particular order. An entry added
   * meanwhile that is already due fires at the next advance.
   *
   * @param now the current time
   * @param handler called with each entry
   */
  void advance(long now, Consumer<Entry> handler) {
    long lastTick = now / tickMicros;
    // One revolution covers all slots.
    long firstTick = Math.max(currentTick, lastTick - slots.length + 1);
    // A list of its own, so that entries added by the handler are not visited.
    Entry dueEntries = new Entry();
    dueEntries.previous = dueEntries;
    dueEntries.next = dueEntries;
    for (long tick = firstTick; tick <= lastTick; tick++) {
      Entry head = slots[(int) (tick & (slots.length - 1))];
      for (Entry entry = head.next; entry != head; ) {
        Entry following = entry.next;
        if (entry.due <= now) {
          long dueAt = entry.due;
          entry.unlink();
          entry.due = dueAt;
          entry.previous = dueEntries.previous;
          entry.next = dueEntries;
          dueEntries.previous.next = entry;
          dueEntries.previous = entry;
        }
        entry = following;
      }
    }
    currentTick = lastTick;
    while (dueEntries.next != dueEntries) {
      Entry entry = dueEntries.next;
      remove(entry);
      handler.accept(entry);
    }
  }
}
