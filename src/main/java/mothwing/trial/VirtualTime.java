package mothwing.trial;

import java.util.PriorityQueue;
import mothwing.broker.Scheduler;

/** A clock that moves from one thing that is due to the next, in the same order every time. */
final class VirtualTime implements Scheduler {
  private static final long MILLI = 1000;

  private record Due(long at, long order, Runnable work) {}

  private final PriorityQueue<Due> dues =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long now;
  private long order;

  @Override
  public long now() {
    return now;
  }

  @Override
  public long wallClockMillis() {
    return BrokerFixture.WALL_MS + Math.floorDiv(now, MILLI);
  }

  @Override
  public void schedule(long at, Runnable work) {
    dues.add(new Due(Math.max(now, at), order++, work));
  }

  /** Lets time pass with all that comes due in it. */
  void until(long end) {
    while (!dues.isEmpty() && dues.peek().at <= end) {
      Due due = dues.remove();
      now = due.at;
      due.work.run();
    }
    now = Math.max(now, end);
  }
}
