package mothwing.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothwing.control.GaugeSample;

/**
 * The timers of the controller: each fires with the pool's gauges of that moment. Where the pool is
 * not connected, or does not answer in time, it fires with the age of the last known gauges alone,
 * never with old values.
 */
final class GaugeSampler {
  /** Longer than the machine may stall, since a stall delays timers and answers alike. */
  private static final long ANSWER_TIMEOUT_MICROS = 500_000;

  /** The name of the gauge that counts runnable threads. */
  private static final String RUNNABLE = "runnable";

  private static final double NOT_KNOWN = -1;

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

  /** The controller starts: the age of gauges counts from now on. */
  void start() {
    sampledAt = scheduler.now();
  }

  /** Fires a timer of the controller at a time of the monotonic clock. */
  void scheduleTimer(long at, String tag) {
    scheduler.schedule(at, () -> timerDue(tag));
  }

  private void timerDue(String tag) {
    if (!pool.isReady()) {
      GaugeSample absent = absentSample();
      events.enqueue((to, at) -> to.timerFired(at, tag, absent));
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
   * The pool has sent its gauges.
   *
   * @param echo the echo of the request for them
   * @param gauges their values; all are ignored where their number is not that of the settings
   */
  void received(String echo, double[] gauges) {
    List<String> names = settings.settings().machine().gaugeNames();
    boolean complete = gauges.length == names.size();
    if (complete) {
      sampledAt = scheduler.now();
    }
    int runnable = names.indexOf(RUNNABLE);
    reconciler.pollAnswered(echo, complete && runnable >= 0 ? gauges[runnable] : NOT_KNOWN);
    deliver(echo, complete ? GaugeSample.of(gauges) : absentSample());
  }

  /** The connection is lost: no answer will come. */
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
      events.enqueue((to, at) -> to.timerFired(at, tag, sample));
    }
  }
}
