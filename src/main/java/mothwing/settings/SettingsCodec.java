package mothwing.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mothwing.OverloadControl.Dependency;
import mothwing.OverloadControl.FreeValue;
import mothwing.OverloadControl.Goal;
import mothwing.OverloadControl.Halting;
import mothwing.OverloadControl.Machine;
import mothwing.OverloadControl.Repeats;
import mothwing.OverloadControl.RequestClass;
import mothwing.OverloadControl.Rules;
import mothwing.OverloadControl.Settings;
import mothwing.OverloadControl.Signals;
import mothwing.OverloadControl.Tenant;

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
  public static Settings read(long seed, Fields options) throws BadInput {
    Fields extra = options.inner("Extra");
    Fields goal = options.inner("ScoreParts");
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

  private static List<RequestClass> classes(Fields options, Fields extra) throws BadInput {
    List<RequestClass> all = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Fields one : options.inners("Classes")) {
      if (!names.add(one.text("Name"))) {
        throw new BadInput("field Classes[].Name: " + one.text("Name") + " stands twice");
      }
      int place = all.size();
      Repeats repeats =
          switch (one.text("Idempotency", "free")) {
            case "free" -> Repeats.SAFE;
            case "guarded" -> Repeats.GUARDED;
            default -> Repeats.SINGLE_SHOT;
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

  private static List<Tenant> tenants(Fields options) throws BadInput {
    List<Tenant> all = new ArrayList<>();
    for (Fields one : options.inners("Tenants")) {
      all.add(new Tenant(one.text("Name"), one.number("QuotaPerS", 0)));
    }
    return all;
  }

  private static Rules rules(Fields contract) throws BadInput {
    return new Rules(
        contract.whole("AnswerSlack", 0),
        contract.whole("DrainGrace", 0),
        contract.number("FallMultiple", 1),
        contract.whole("Fall", 0),
        contract.number("ColdFrom", 1),
        contract.whole("WarmAfter", 0));
  }

  private static Dependency dependency(Fields extra) throws BadInput {
    return new Dependency(
        extra.number("CallsOut", 0), extra.whole("DepWindow", 0), extra.whole("Linger", 0));
  }

  private static Machine machine(Fields extra) throws BadInput {
    Halting halting =
        switch (extra.text("Halt", "silent")) {
          case "abort" -> Halting.ABORT;
          case "suspend" -> Halting.SUSPEND;
          default -> Halting.NONE;
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

  private static Signals signals(Fields extra, Fields limits) throws BadInput {
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
