package mothwing.broker;

import java.util.Map;
import java.util.TreeMap;

/** A clock that a test moves; work that is due in between is done in order. */
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

  void advanceTo(long until) {
    while (!due.isEmpty() && due.firstKey() <= until) {
      Map.Entry<Long, Runnable> next = due.pollFirstEntry();
      now = next.getKey();
      next.getValue().run();
    }
    now = until;
  }
}
