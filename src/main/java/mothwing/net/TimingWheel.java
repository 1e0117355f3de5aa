package mothwing.net;

import java.util.function.Consumer;

/**
 * A hashed timing wheel: entries with due times, put in, moved and taken out at a cost that does
 * not depend on their number. An entry due beyond one turn of the wheel is passed over once a turn.
 * Times are microseconds of one clock that only goes forward; an entry fires at the first look at
 * or after its due time, up to a tick late.
 */
final class TimingWheel {
  /** What stands in a wheel: at one place at most. */
  static class Entry {
    private Entry before;
    private Entry after;
    private long due = Connection.NEVER;

    /** When it is due, or {@link Connection#NEVER} where it stands in no wheel. */
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

  private final long tick;
  private final Entry[] slots;
  private long turned;
  private int size;

  /**
   * Makes an empty wheel.
   *
   * @param slots how many slots it has, a power of 2
   * @param tick microseconds of a slot
   * @param now the time
   */
  TimingWheel(int slots, long tick, long now) {
    this.tick = tick;
    this.turned = now / tick;
    this.slots = new Entry[slots];
    for (int i = 0; i < slots; i++) {
      Entry head = new Entry();
      head.before = head;
      head.after = head;
      this.slots[i] = head;
    }
  }

  /** Puts an entry in, or moves it; what is due already fires at the next look. */
  void put(Entry entry, long due) {
    remove(entry);
    Entry head = slots[(int) (Math.max(due / tick, turned) & slots.length - 1)];
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

  /** How many entries stand in it. */
  int size() {
    return size;
  }

  /**
   * Takes out all that is due and gives it away, in no order. What is put in meanwhile and is due
   * already fires at the next look.
   *
   * @param now the time
   * @param fired takes each entry
   */
  void look(long now, Consumer<Entry> fired) {
    long until = now / tick;
    long from = Math.max(turned, until - slots.length + 1); // one turn sees all
    Entry due = new Entry(); // a list of its own, so that what is put in meanwhile is not met
    due.before = due;
    due.after = due;
    for (long at = from; at <= until; at++) {
      Entry head = slots[(int) (at & slots.length - 1)];
      for (Entry one = head.after; one != head; ) {
        Entry next = one.after;
        if (one.due <= now) {
          long when = one.due;
          one.unlink();
          one.due = when;
          one.before = due.before;
          one.after = due;
          due.before.after = one;
          due.before = one;
        }
        one = next;
      }
    }
    turned = until;
    while (due.after != due) {
      Entry one = due.after;
      remove(one);
      fired.accept(one);
    }
  }
}
