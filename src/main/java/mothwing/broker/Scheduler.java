package mothwing.broker;

/** The clocks and timers of the broker. All work runs on the one thread that owns the broker. */
public interface Scheduler {
  /** Microseconds of the monotonic clock. */
  long now();

  /** Unix milliseconds of the wall clock. */
  long wallClockMillis();

  /**
   * Schedules work for a time of the monotonic clock, or for as soon as possible if that time has
   * passed. The work never runs within this call.
   *
   * @param at the time, in microseconds
   * @param work the work to run
   */
  void schedule(long at, Runnable work);
}
