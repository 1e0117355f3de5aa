package mothwing.broker;

import java.util.Map;
import java.util.TreeMap;

/** A clock that a test advances; work that becomes due runs in order of its time. */
final class ManualScheduler implements Scheduler {
  private final TreeMap<Long, Runnable> due = new TreeMap<>();
  private long now;

  @Override
  public long now() {
    return now;
  }

  @Override
  public long wallClockMillis() {
    return now / 1000;
  }

  @Override
  public void schedule(long at, Runnable work) {
    due.merge(
        Math.max(at, now),
        work,
        (first, second) ->
            () -> {
              first.run();
              second.run();
            });
  }

  void advanceTo(long target) {
    while (!due.isEmpty() && due.firstKey() <= target) {
      Map.Entry<Long, Runnable> next = due.pollFirstEntry();
      now = next.getKey();
      next.getValue().run();
    }
    now = target;
  }
}
