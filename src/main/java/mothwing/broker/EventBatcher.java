package mothwing.broker;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;
import mothwing.control.Controller;

/**
 * Queues the events for the controller and delivers them in batches, at most one per batch
 * interval. A failure of the controller costs one event, not the process.
 */
final class EventBatcher {
  /** One event for the controller. */
  @FunctionalInterface
  interface ControllerEvent {
    /**
     * Delivers the event.
     *
     * @param controller the receiver
     * @param now microseconds of the monotonic clock, the same for a whole batch
     */
    void deliver(Controller controller, long now);
  }

  private final Scheduler scheduler;
  private final LongSupplier batchIntervalMicros;
  private final Counters counters;
  private final EventLog log;
  private final Queue<ControllerEvent> queue = new ArrayDeque<>();
  private Controller controller;
  private boolean batchScheduled;
  private long lastBatchAt = Long.MIN_VALUE / 2; // half, so that adding an interval cannot overflow

  EventBatcher(
      Scheduler scheduler, LongSupplier batchIntervalMicros, Counters counters, EventLog log) {
    this.scheduler = scheduler;
    this.batchIntervalMicros = batchIntervalMicros;
    this.counters = counters;
    this.log = log;
  }

  /** Sets the receiver; no event may be queued before. */
  void setController(Controller receiver) {
    controller = receiver;
  }

  void enqueue(ControllerEvent event) {
    queue.add(event);
    if (!batchScheduled) {
      batchScheduled = true;
      long due = lastBatchAt + batchIntervalMicros.getAsLong();
      scheduler.schedule(Math.max(scheduler.now(), due), this::deliverBatch);
    }
  }

  /** Has an empty batch delivered, so that the controller may act on the time alone. */
  void requestBatch() {
    enqueue((to, at) -> {});
  }

  private void deliverBatch() {
    batchScheduled = false;
    long now = scheduler.now();
    lastBatchAt = now;
    ControllerEvent next;
    while ((next = queue.poll()) != null) {
      ControllerEvent event = next;
      runSafely(() -> event.deliver(controller, now));
    }
    runSafely(() -> controller.batchEnded(now));
  }

  private void runSafely(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException fault) {
      counters.add(CounterNames.CONTROLLER_FAULTS);
      StackTraceElement[] trace = fault.getStackTrace();
      log.write(
          EventNames.CONTROLLER_FAULT + " " + fault + (trace.length > 0 ? " at=" + trace[0] : ""));
    }
  }
}
