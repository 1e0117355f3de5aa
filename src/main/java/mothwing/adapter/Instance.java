package mothwing.adapter;

import java.util.HashMap;
import java.util.Map;
import mothwing.control.Controller;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.Tenant;
import mothwing.overload.OverloadController;
import mothwing.settings.InvalidInputException;
import mothwing.settings.JsonFields;

/**
 * One life of one instance: its controller, the names it knows, and the actions of the batch in
 * hand.
 */
final class Instance {
  private final ActionWriter actions;
  private final Controller controller;
  private final Map<String, Integer> classes = new HashMap<>();
  private final Map<String, Integer> tenants = new HashMap<>();

  Instance(long who, Settings settings) {
    actions = new ActionWriter(who);
    for (RequestClass one : settings.classes()) {
      classes.put(one.name(), classes.size());
    }
    for (Tenant one : settings.tenants()) {
      tenants.put(one.name(), tenants.size());
    }
    controller = new OverloadController(settings, actions);
  }

  ActionWriter actions() {
    return actions;
  }

  Controller controller() {
    return controller;
  }

  /** Gives one event of this life to the controller. */
  void event(long now, String what, JsonFields event) throws InvalidInputException {
    switch (what) {
      case "Submit" -> controller.requestRead(now, request(event));
      case "Abandoned" -> controller.requestCancelled(now, event.text("Job"));
      case "StalledOnCall" -> controller.callAwaited(now, event.text("Job"));
      case "CallResult" ->
          controller.callEnded(now, event.text("Job"), outcome(event), event.whole("Rtt", 0));
      case "Finished" ->
          controller.runEnded(now, event.text("Job"), outcome(event), event.whole("Rtt", 0));
      case "Fired" ->
          controller.timerFired(now, event.text("Tag", ""), GaugeSample.of(event.numbers("Stats")));
      case "Sigterm" -> controller.shutdownRequested(now, event.whole("ValidUntil"));
      default -> throw new InvalidInputException("field what: unknown event " + what);
    }
  }

  private Request request(JsonFields event) throws InvalidInputException {
    String band = event.text("Band");
    Integer place = classes.get(band);
    if (place == null) {
      throw new InvalidInputException("field Band: no class " + band + " in the settings");
    }
    String team = event.text("Team", "");
    return new Request(
        event.text("Job"),
        place,
        tenants.getOrDefault(team, -1),
        event.whole("Cost", 0),
        event.whole("UnreadFor", 0),
        event.text("Affinity", null),
        event.number("Kb", 0),
        forerunner(event),
        event.number("Prio", 0),
        event.whole("ValidUntil", 0),
        event.mark("Mutates"));
  }

  private static String forerunner(JsonFields event) throws InvalidInputException {
    String id = event.reference("Forerunner");
    return id == null || id.isEmpty() || id.equals("0") ? null : id;
  }

  private static RunOutcome outcome(JsonFields event) throws InvalidInputException {
    String verdict = event.text("Verdict");
    return switch (verdict) {
      case "GOOD" -> RunOutcome.SUCCEEDED;
      case "BAD" -> RunOutcome.FAILED;
      case "FULL" -> RunOutcome.REJECTED;
      case "LATE" -> RunOutcome.TIMED_OUT;
      case "NOCONN" -> RunOutcome.UNREACHABLE;
      case "RST" -> RunOutcome.CONNECTION_LOST;
      case "CXL" -> RunOutcome.STOPPED;
      case "NOP" -> RunOutcome.NOT_STARTED;
      default -> throw new InvalidInputException("field Verdict: unknown outcome " + verdict);
    };
  }
}
