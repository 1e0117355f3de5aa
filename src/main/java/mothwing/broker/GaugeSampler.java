package mothwing.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.control.GaugeSample;

/**
 * Runs the timers of the controller. Each fires with a fresh sample of the pool's gauges. If the
 * pool is not connected or does not answer in time, the timer fires with only the age of the last
 * known gauges, never with old values.
 */
final class GaugeSampler {
  /** Longer than any expected stall of the machine, which delays timers and answers alike. */
  private static final long ANSWER_TIMEOUT_MICROS = 500_000;

  /** The name of the gauge that counts runnable threads. */
  private static final String RUNNABLE = "runnable";

  private static final double UNKNOWN = -1;

  private final WorkerPool pool;
  private final Scheduler scheduler;
  private final ActiveSettings settings;
  private final RunReconciler reconciler;
  private final EventBatcher events;
  private final Counters counters;
  private final Map<String, String> tagsByEcho = new LinkedHashMap<>();
  private long sampledAt;

  GaugeSampler(
      WorkerPool pool,
      Scheduler scheduler,
      ActiveSettings settings,
      RunReconciler reconciler,
      EventBatcher events,
      Counters counters) {
    this.pool = pool;
    this.scheduler = scheduler;
    this.settings = settings;
    this.reconciler = reconciler;
    this.events = events;
    this.counters = counters;
  }

  /** Starts with the controller: the age of the gauges counts from now on. */
  void start() {
    sampledAt = scheduler.now();
  }

  /** Schedules a timer of the controller for a time of the monotonic clock. */
  void scheduleTimer(long at, String tag) {
    scheduler.schedule(at, () -> timerDue(tag));
  }

  private void timerDue(String tag) {
    if (!pool.isReady()) {
      GaugeSample absent = absentSample();
      events.enqueue((receiver, at) -> receiver.timerFired(at, tag, absent));
      return;
    }
    String echo = reconciler.nextPoll();
    tagsByEcho.put(echo, tag);
    pool.requestGauges(echo);
    scheduler.schedule(scheduler.now() + ANSWER_TIMEOUT_MICROS, () -> timeOut(echo));
  }

  private void timeOut(String echo) {
    if (tagsByEcho.containsKey(echo)) {
      counters.add(CounterNames.GAUGES_LATE);
      deliver(echo, absentSample());
    }
  }

  /**
   * Handles gauges that the pool has sent.
   *
   * @param echo the echo of the request for them
   * @param gauges their values; ignored unless their number matches the settings
   */
  void received(String echo, double[] gauges) {
    List<String> names = settings.settings().machine().gaugeNames();
    boolean complete = gauges.length == names.size();
    if (complete) {
      sampledAt = scheduler.now();
    }
    int runnable = names.indexOf(RUNNABLE);
    reconciler.pollAnswered(echo, complete && runnable >= 0 ? gauges[runnable] : UNKNOWN);
    deliver(echo, complete ? GaugeSample.of(gauges) : absentSample());
  }

  /** Fires all waiting timers without gauges, because a lost connection brings no answers. */
  void poolDisconnected() {
    for (String echo : new ArrayList<>(tagsByEcho.keySet())) {
      deliver(echo, absentSample());
    }
  }

  private GaugeSample absentSample() {
    return GaugeSample.absent(Math.max(0, scheduler.now() - sampledAt));
  }

  private void deliver(String echo, GaugeSample sample) {
    String tag = tagsByEcho.remove(echo);
    if (tag != null) {
      events.enqueue((receiver, at) -> receiver.timerFired(at, tag, sample));
    }
  }
}
