package mothwing.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mothwing.control.Dependency;
import mothwing.control.FreeValue;
import mothwing.control.Goal;
import mothwing.control.Idempotency;
import mothwing.control.Machine;
import mothwing.control.RequestClass;
import mothwing.control.Rules;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.StopMode;
import mothwing.control.Tenant;

/**
 * Turns the JSON object of the settings, in the names of the simulator's wire, into {@link
 * Settings}; unknown keys are ignored.
 */
public final class SettingsCodec {
  private SettingsCodec() {}

  /**
   * Reads the settings.
   *
   * @param seed seed of the random numbers of this life
   * @param options the object of the settings
   * @return the settings
   * @throws BadInput where a field is missing or of a wrong type
   */
  public static Settings read(long seed, JsonFields options) throws InvalidInputException {
    JsonFields extra = options.inner("Extra");
    JsonFields goal = options.inner("ScoreParts");
    return new Settings(
        seed,
        options.whole("Round", 0),
        classes(options, extra),
        tenants(options),
        (int) options.whole("ReplicasOfMe", 1),
        (int) extra.whole("Callers", 0),
        options.text("CountedBy", "request").equals("work"),
        options.number("OverShareWorth", 1),
        extra.whole("Fresh", 0),
        new Goal(
            goal.number("Whole", 0),
            goal.number("WorstWindow", 0),
            goal.number("WorstClass", 0),
            goal.number("WorstTenant", 0)),
        rules(options.inner("Contract")),
        dependency(extra),
        machine(extra),
        signals(extra, options.inner("Limits")));
  }

  private static List<RequestClass> classes(JsonFields options, JsonFields extra)
      throws InvalidInputException {
    List<RequestClass> all = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonFields one : options.inners("Classes")) {
      if (!names.add(one.text("Name"))) {
        throw new InvalidInputException(
            "field Classes[].Name: " + one.text("Name") + " stands twice");
      }
      int place = all.size();
      Idempotency repeats =
          switch (one.text("Idempotency", "free")) {
            case "free" -> Idempotency.SAFE;
            case "guarded" -> Idempotency.GUARDED;
            default -> Idempotency.SINGLE_SHOT;
          };
      all.add(
          new RequestClass(
              one.text("Name"),
              one.positive("Target"),
              one.positive("GiveUp"),
              one.number("Worth", 0),
              one.number("LateValue", 0),
              repeats,
              one.whole("MemorySpan", 0),
              extra.markAt("CallsByClass", place),
              extra.numberAt("DegradedWorth", place)));
    }
    return all;
  }

  private static List<Tenant> tenants(JsonFields options) throws InvalidInputException {
    List<Tenant> all = new ArrayList<>();
    for (JsonFields one : options.inners("Tenants")) {
      all.add(new Tenant(one.text("Name"), one.number("QuotaPerS", 0)));
    }
    return all;
  }

  private static Rules rules(JsonFields contract) throws InvalidInputException {
    return new Rules(
        contract.whole("AnswerSlack", 0),
        contract.whole("DrainGrace", 0),
        contract.number("FallMultiple", 1),
        contract.whole("Fall", 0),
        contract.number("ColdFrom", 1),
        contract.whole("WarmAfter", 0));
  }

  private static Dependency dependency(JsonFields extra) throws InvalidInputException {
    return new Dependency(
        extra.number("CallsOut", 0), extra.whole("DepWindow", 0), extra.whole("Linger", 0));
  }

  private static Machine machine(JsonFields extra) throws InvalidInputException {
    StopMode halting =
        switch (extra.text("Halt", "silent")) {
          case "abort" -> StopMode.ABORT;
          case "suspend" -> StopMode.SUSPEND;
          default -> StopMode.NONE;
        };
    return new Machine(
        (int) extra.whole("Cores", 1),
        extra.number("MemoryKb", 0),
        extra.number("RunMemFactor", 1),
        extra.number("EntryKb", 0),
        extra.mark("Cold"),
        extra.texts("Gauges"),
        halting);
  }

  private static Signals signals(JsonFields extra, JsonFields limits) throws InvalidInputException {
    FreeValue value =
        switch (extra.text("Say", "silent")) {
          case "threshold" -> FreeValue.LEVEL;
          case "window" -> FreeValue.WINDOW;
          case "share_of" -> FreeValue.SHARE;
          default -> FreeValue.NONE;
        };
    return new Signals(
        value,
        extra.whole("HeardFor", 0),
        limits.mark("RetryAfter"),
        limits.whole("MaxRetryAfter", 0),
        extra.mark("TellsGone"),
        extra.whole("Idle", 0));
  }
}
