package mothwing.broker;

import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;
import mothwing.control.Machine;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.control.Tenant;

/**
 * The settings in force: classes and tenants at places that do not move while an open request
 * refers to them.
 */
final class ActiveSettings {
  private final StableIndex<RequestClass> classes = new StableIndex<>(RequestClass::name);
  private final StableIndex<Tenant> tenants = new StableIndex<>(Tenant::name);
  private Settings settings;
  private boolean setColdStart;

  /**
   * Makes the first settings.
   *
   * @param told the settings
   */
  ActiveSettings(Settings told) {
    apply(told, Set.of());
  }

  /** Takes new settings; what is open goes on under the class that it was read under. */
  void apply(Settings told, Collection<Exchange> open) {
    BitSet classesUsed = new BitSet();
    BitSet tenantsUsed = new BitSet();
    for (Exchange one : open) {
      classesUsed.set(one.classIndex()); // what is open has one
      tenantsUsed.set(one.tenantIndex() + 1); // 0 stands for none
    }
    classes.update(told.classes(), classesUsed::get);
    tenants.update(told.tenants(), place -> tenantsUsed.get(place + 1));
    settings = placed(told);
  }

  /** The pool says whether the machine has just started. */
  void setColdStart(boolean now) {
    setColdStart = now;
    settings = placed(settings);
  }

  private Settings placed(Settings told) {
    Machine one = told.machine();
    Machine machine =
        new Machine(
            one.cores(),
            one.memoryKb(),
            one.runMemoryFactor(),
            0,
            setColdStart,
            one.gaugeNames(),
            one.stopMode());
    return new Settings(
        told.seed(),
        told.batchInterval(),
        classes.entries(),
        tenants.entries(),
        told.replicas(),
        told.callers(),
        told.weightByWork(),
        told.overQuotaWeightRatio(),
        told.cacheLifetime(),
        told.goal(),
        told.rules(),
        told.dependency(),
        machine,
        told.signals());
  }

  /** The settings as the controller knows them: by place. */
  Settings settings() {
    return settings;
  }

  /** The longest retry advice of a rejection, or 0 where the settings allow none. */
  long maxRetryAfterMicros() {
    return settings.signals().retryAfterHonoured() ? settings.signals().maxRetryAfter() : 0;
  }

  /** The class of a name that is known now, or null. */
  RequestClass findClass(String kind) {
    Integer place = classes.indexOf(kind);
    return place == null ? null : settings.classes().get(place);
  }

  int classIndex(String kind) {
    Integer place = classes.indexOf(kind);
    return place == null ? -1 : place;
  }

  int tenantIndex(String tenant) {
    Integer place = tenants.indexOf(tenant);
    return place == null ? -1 : place;
  }

  boolean isKnownTenant(String tenant) {
    return tenants.isEmpty() || tenants.indexOf(tenant) != null;
  }

  /** The names of the classes that are known now. */
  Set<String> classNames() {
    return settings.classes().stream()
        .map(RequestClass::name)
        .filter(name -> classes.indexOf(name) != null)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }
}
