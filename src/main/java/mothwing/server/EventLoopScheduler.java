package mothwing.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import mothwing.broker.Scheduler;

/** The system clocks, and timers that run tasks on the event loop. */
final class EventLoopScheduler implements Scheduler {
  private static final long NANOS_PER_MICRO = 1000;

  private final EventLoop loop;
  private final long start = System.nanoTime();

  EventLoopScheduler(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long now() {
    return (System.nanoTime() - start) / NANOS_PER_MICRO;
  }

  @Override
  public long wallClockMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void schedule(long at, Runnable task) {
    long delay = at - now();
    if (delay <= 0) {
      loop.execute(task);
    } else {
      loop.schedule(task, delay, TimeUnit.MICROSECONDS);
    }
  }
}
