package mothwing.adapter;

import java.util.HashMap;
import java.util.Map;
import mothwing.Brain;
import mothwing.OverloadControl.Controller;
import mothwing.OverloadControl.Outcome;
import mothwing.OverloadControl.Request;
import mothwing.OverloadControl.RequestClass;
import mothwing.OverloadControl.Sample;
import mothwing.OverloadControl.Settings;
import mothwing.OverloadControl.Tenant;
import mothwing.settings.BadInput;
import mothwing.settings.Fields;

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
    controller = new Brain(settings, actions);
  }

  ActionWriter actions() {
    return actions;
  }

  Controller controller() {
    return controller;
  }

  /** Gives one event of this life to the controller. */
  void event(long now, String what, Fields event) throws BadInput {
    switch (what) {
      case "Submit" -> controller.read(now, request(event));
      case "Abandoned" -> controller.gone(now, event.text("Job"));
      case "StalledOnCall" -> controller.atCall(now, event.text("Job"));
      case "CallResult" ->
          controller.callEnded(now, event.text("Job"), outcome(event), event.whole("Rtt", 0));
      case "Finished" ->
          controller.finished(now, event.text("Job"), outcome(event), event.whole("Rtt", 0));
      case "Fired" ->
          controller.timer(now, event.text("Tag", ""), Sample.of(event.numbers("Stats")));
      case "Sigterm" -> controller.drain(now, event.whole("ValidUntil"));
      default -> throw new BadInput("field what: unknown event " + what);
    }
  }

  private Request request(Fields event) throws BadInput {
    String band = event.text("Band");
    Integer place = classes.get(band);
    if (place == null) {
      throw new BadInput("field Band: no class " + band + " in the settings");
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

  private static String forerunner(Fields event) throws BadInput {
    String id = event.reference("Forerunner");
    return id == null || id.isEmpty() || id.equals("0") ? null : id;
  }

  private static Outcome outcome(Fields event) throws BadInput {
    String verdict = event.text("Verdict");
    return switch (verdict) {
      case "GOOD" -> Outcome.GOOD;
      case "BAD" -> Outcome.FAILED;
      case "FULL" -> Outcome.DECLINED;
      case "LATE" -> Outcome.TIMED_OUT;
      case "NOCONN" -> Outcome.UNREACHED;
      case "RST" -> Outcome.CUT;
      case "CXL" -> Outcome.STOPPED;
      case "NOP" -> Outcome.MOOT;
      default -> throw new BadInput("field Verdict: unknown outcome " + verdict);
    };
  }
}
