package mothwing.broker;

/** The clocks, and delayed work. All work runs on the one thread that owns the broker. */
public interface Scheduler {
  /** Microseconds of the monotonic clock. */
  long now();

  /** Unix milliseconds of the wall clock. */
  long wallClockMillis();

  /**
   * Runs work at a time of the monotonic clock, or as soon as possible where that has passed; never
   * at once.
   *
   * @param at the time
   * @param work what to do
   */
  void schedule(long at, Runnable work);
}
