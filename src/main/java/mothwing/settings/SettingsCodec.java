package mothwing.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mothwing.control.Dependency;
import mothwing.control.FreeValue;
import mothwing.control.Idempotency;
import mothwing.control.Machine;
import mothwing.control.ObjectiveWeights;
import mothwing.control.RequestClass;
import mothwing.control.ServerLimits;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.StopMode;
import mothwing.control.Tenant;

/**
 * Decodes the JSON object of the settings into {@link Settings}. Its keys and enumerated values are
 * those of the simulator's wire format and occur only in this class. Unknown keys are ignored.
 */
public final class SettingsCodec {
  private SettingsCodec() {}

  /**
   * Reads the settings.
   *
   * @param seed the random seed of this incarnation
   * @param options the JSON object of the settings
   * @return the settings
   * @throws InvalidInputException if a field is missing or of the wrong type
   */
  public static Settings read(long seed, JsonFields options) throws InvalidInputException {
    JsonFields extra = options.object("Extra");
    JsonFields objectiveWeights = options.object("ScoreParts");
    return new Settings(
        seed,
        options.integer("Round", 0),
        readClasses(options, extra),
        readTenants(options),
        (int) options.integer("ReplicasOfMe", 1),
        (int) extra.integer("Callers", 0),
        options.text("CountedBy", "request").equals("work"),
        options.number("OverShareWorth", 1),
        extra.integer("Fresh", 0),
        new ObjectiveWeights(
            objectiveWeights.number("Whole", 0),
            objectiveWeights.number("WorstWindow", 0),
            objectiveWeights.number("WorstClass", 0),
            objectiveWeights.number("WorstTenant", 0)),
        readServerLimits(options.object("Contract")),
        readDependency(extra),
        readMachine(extra),
        readSignals(extra, options.object("Limits")));
  }

  private static List<RequestClass> readClasses(JsonFields options, JsonFields extra)
      throws InvalidInputException {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonFields requestClass : options.objects("Classes")) {
      if (!names.add(requestClass.text("Name"))) {
        throw new InvalidInputException(
            "field Classes[].Name: " + requestClass.text("Name") + " stands twice");
      }
      int index = classes.size();
      Idempotency idempotency =
          switch (requestClass.text("Idempotency", "free")) {
            case "free" -> Idempotency.ALWAYS;
            case "guarded" -> Idempotency.WITH_KEY;
            default -> Idempotency.NEVER;
          };
      classes.add(
          new RequestClass(
              requestClass.text("Name"),
              requestClass.positiveInteger("Target"),
              requestClass.positiveInteger("GiveUp"),
              requestClass.number("Worth", 0),
              requestClass.number("LateValue", 0),
              idempotency,
              requestClass.integer("MemorySpan", 0),
              extra.flagAt("CallsByClass", index),
              extra.numberAt("DegradedWorth", index)));
    }
    return classes;
  }

  private static List<Tenant> readTenants(JsonFields options) throws InvalidInputException {
    List<Tenant> tenants = new ArrayList<>();
    for (JsonFields tenant : options.objects("Tenants")) {
      tenants.add(new Tenant(tenant.text("Name"), tenant.number("QuotaPerS", 0)));
    }
    return tenants;
  }

  private static ServerLimits readServerLimits(JsonFields contract) throws InvalidInputException {
    return new ServerLimits(
        contract.integer("AnswerSlack", 0),
        contract.integer("DrainGrace", 0),
        contract.number("FallMultiple", 1),
        contract.integer("Fall", 0),
        contract.number("ColdFrom", 1),
        contract.integer("WarmAfter", 0));
  }

  private static Dependency readDependency(JsonFields extra) throws InvalidInputException {
    return new Dependency(
        extra.number("CallsOut", 0), extra.integer("DepWindow", 0), extra.integer("Linger", 0));
  }

  private static Machine readMachine(JsonFields extra) throws InvalidInputException {
    StopMode stopMode =
        switch (extra.text("Halt", "silent")) {
          case "abort" -> StopMode.ABORT;
          case "suspend" -> StopMode.SUSPEND;
          default -> StopMode.NONE;
        };
    return new Machine(
        (int) extra.integer("Cores", 1),
        extra.number("MemoryKb", 0),
        extra.number("RunMemFactor", 1),
        extra.number("EntryKb", 0),
        extra.flag("Cold"),
        extra.texts("Gauges"),
        stopMode);
  }

  private static Signals readSignals(JsonFields extra, JsonFields limits)
      throws InvalidInputException {
    FreeValue freeValue =
        switch (extra.text("Say", "silent")) {
          case "threshold" -> FreeValue.LEVEL;
          case "window" -> FreeValue.WINDOW;
          case "share_of" -> FreeValue.SHARE;
          default -> FreeValue.NONE;
        };
    return new Signals(
        freeValue,
        extra.integer("HeardFor", 0),
        limits.flag("RetryAfter"),
        limits.integer("MaxRetryAfter", 0),
        extra.flag("TellsGone"),
        extra.integer("Idle", 0));
  }
}
