package mothwing.broker;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;
import mothwing.control.Controller;

/**
 * Queues the events for the controller and delivers them in batches, at most one per batch
 * interval. An exception of the controller loses one event and does not end the process.
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

  /**
   * When the last batch was delivered. Initially half the minimum value, so that the first batch is
   * due at once and adding an interval cannot overflow.
   */
  private long lastBatchAt = Long.MIN_VALUE / 2;

  EventBatcher(
      Scheduler scheduler, LongSupplier batchIntervalMicros, Counters counters, EventLog log) {
    this.scheduler = scheduler;
    this.batchIntervalMicros = batchIntervalMicros;
    this.counters = counters;
    this.log = log;
  }

  /** Sets the receiver of the events; no event may be queued before this call. */
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

  /** Schedules an empty batch, so that the controller can react to the elapsed time alone. */
  void requestBatch() {
    enqueue((receiver, at) -> {});
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
