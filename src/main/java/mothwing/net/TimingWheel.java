package mothwing.net;

import java.util.function.Consumer;

/**
 * A hashed timing wheel: entries with due times, put in, moved and taken out at a cost that does
 * not depend on their number. An entry due beyond one turn of the wheel is passed over once a turn.
 * Times are microseconds of one clock that only goes forward; an entry fires at the first advance
 * at or after its due time, up to a tick late.
 */
final class TimingWheel {
  /** An entry, in at most one slot of one wheel. */
  static class Entry {
    private Entry before;
    private Entry after;
    private long due = Connection.NEVER;

    /** When it is due, or {@link Connection#NEVER} where it is in no wheel. */
    final long due() {
      return due;
    }

    private void unlink() {
      before.after = after;
      after.before = before;
      before = null;
      after = null;
      due = Connection.NEVER;
    }
  }

  private final long tickMicros;
  private final Entry[] slots;
  private long currentTick;
  private int size;

  /**
   * Makes an empty wheel.
   *
   * @param slots how many slots it has, a power of 2
   * @param tick microseconds of a slot
   * @param now the time
   */
  TimingWheel(int slots, long tick, long now) {
    this.tickMicros = tick;
    this.currentTick = now / tick;
    this.slots = new Entry[slots];
    for (int i = 0; i < slots; i++) {
      Entry head = new Entry();
      head.before = head;
      head.after = head;
      this.slots[i] = head;
    }
  }

  /** Puts an entry in, or moves it; what is due already fires at the next advance. */
  void put(Entry entry, long due) {
    remove(entry);
    Entry head = slots[(int) (Math.max(due / tickMicros, currentTick) & (slots.length - 1))];
    entry.due = due;
    entry.before = head.before;
    entry.after = head;
    head.before.after = entry;
    head.before = entry;
    size++;
  }

  /** Takes an entry out, where it is in. */
  void remove(Entry entry) {
    if (entry.before != null) {
      entry.unlink();
      size--;
    }
  }

  /** How many entries it has. */
  int size() {
    return size;
  }

  /**
   * Takes out all entries that are due and fires them, in no order. An entry that is put in
   * meanwhile and is due already fires at the next advance.
   *
   * @param now the time
   * @param fired takes each entry
   */
  void advance(long now, Consumer<Entry> fired) {
    long until = now / tickMicros;
    long from = Math.max(currentTick, until - slots.length + 1); // one turn covers all slots
    Entry due = new Entry(); // entries put in meanwhile are not met
    due.before = due;
    due.after = due;
    for (long at = from; at <= until; at++) {
      Entry head = slots[(int) (at & (slots.length - 1))];
      for (Entry entry = head.after; entry != head; ) {
        Entry next = entry.after;
        if (entry.due <= now) {
          long dueAt = entry.due;
          entry.unlink();
          entry.due = dueAt;
          entry.before = due.before;
          entry.after = due;
          due.before.after = entry;
          due.before = entry;
        }
        entry = next;
      }
    }
    currentTick = until;
    while (due.after != due) {
      Entry entry = due.after;
      remove(entry);
      fired.accept(entry);
    }
  }
}
