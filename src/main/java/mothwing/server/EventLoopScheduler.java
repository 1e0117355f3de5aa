package mothwing.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import mothwing.broker.Scheduler;

/** The clocks of the system, and timers on the event loop. */
final class EventLoopScheduler implements Scheduler {
  private static final long NANOS = 1000;

  private final EventLoop loop;
  private final long start = System.nanoTime();

  EventLoopScheduler(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long now() {
    return (System.nanoTime() - start) / NANOS;
  }

  @Override
  public long wallClockMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void schedule(long at, Runnable work) {
    long wait = at - now();
    if (wait <= 0) {
      loop.execute(work);
    } else {
      loop.schedule(work, wait, TimeUnit.MICROSECONDS);
    }
  }
}
