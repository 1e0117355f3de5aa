package mothwing.trial;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import mothwing.broker.Scheduler;

/**
 * The clock of a trial on real time, which all threads of the rig share: 0 is the moment at which
 * callers begin.
 */
final class TrialClock {
  private static final long NANOS = 1000;

  private volatile long base = System.nanoTime();

  /** Now is the trial's start. */
  void begin() {
    base = System.nanoTime();
  }

  /** Microseconds since the trial's start. */
  long now() {
    return (System.nanoTime() - base) / NANOS;
  }

  /** Timers of this clock on an executor; the work is done under a lock. */
  Scheduler on(ScheduledExecutorService executor, Object lock) {
    return new Scheduler() {
      @Override
      public long now() {
        return TrialClock.this.now();
      }

      @Override
      public long wallClockMillis() {
        return System.currentTimeMillis();
      }

      @Override
      public void schedule(long at, Runnable work) {
        if (!executor.isShutdown()) {
          executor.schedule(
              () -> {
                synchronized (lock) {
                  work.run();
                }
              },
              Math.max(0, at - now()),
              TimeUnit.MICROSECONDS);
        }
      }
    };
  }
}
