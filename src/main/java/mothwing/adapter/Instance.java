package mothwing.adapter;

import mothwing.control.Controller;
import mothwing.control.Settings;
import mothwing.overload.OverloadController;
import mothwing.settings.InvalidInputException;
import mothwing.settings.JsonFields;

/**
 * One incarnation of one simulated server: its controller, and the actions that the controller has
 * requested in the current batch.
 */
final class Instance {
  private final ActionWriter actions;
  private final EventDecoder decoder;
  private final Controller controller;

  Instance(long id, Settings settings) {
    actions = new ActionWriter(id);
    decoder = new EventDecoder(settings);
    controller = new OverloadController(settings, actions);
  }

  ActionWriter actions() {
    return actions;
  }

  Controller controller() {
    return controller;
  }

  /**
   * Decodes an event and passes it to the controller.
   *
   * @param now microseconds of the simulated clock
   * @param name the name of the event in the protocol
   * @param fields the fields of the event
   * @throws InvalidInputException if the event cannot be decoded
   */
  void handle(long now, String name, JsonFields fields) throws InvalidInputException {
    InstanceEvent event = decoder.decode(name, fields);
    if (event instanceof InstanceEvent.RequestRead read) {
      controller.requestRead(now, read.request());
    } else if (event instanceof InstanceEvent.RequestCancelled cancelled) {
      controller.requestCancelled(now, cancelled.requestId());
    } else if (event instanceof InstanceEvent.CallAwaited awaited) {
      controller.callAwaited(now, awaited.requestId());
    } else if (event instanceof InstanceEvent.CallEnded call) {
      controller.callEnded(now, call.requestId(), call.outcome(), call.durationMicros());
    } else if (event instanceof InstanceEvent.RunEnded run) {
      controller.runEnded(now, run.requestId(), run.outcome(), run.durationMicros());
    } else if (event instanceof InstanceEvent.TimerFired timer) {
      controller.timerFired(now, timer.tag(), timer.sample());
    } else if (event instanceof InstanceEvent.ShutdownRequested shutdown) {
      controller.shutdownRequested(now, shutdown.stopAt());
    }
  }
}
