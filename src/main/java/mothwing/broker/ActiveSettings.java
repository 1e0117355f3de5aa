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
 * The settings in force: classes and tenants have indexes that do not change while an open request
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
   * @param next the settings
   */
  ActiveSettings(Settings next) {
    apply(next, Set.of());
  }

  /** Takes new settings; what is open goes on under the class that it was read under. */
  void apply(Settings next, Collection<Exchange> open) {
    BitSet classesUsed = new BitSet();
    BitSet tenantsUsed = new BitSet();
    for (Exchange exchange : open) {
      classesUsed.set(exchange.classIndex()); // what is open has one
      tenantsUsed.set(exchange.tenantIndex() + 1); // 0 stands for none
    }
    classes.update(next.classes(), classesUsed::get);
    tenants.update(next.tenants(), place -> tenantsUsed.get(place + 1));
    settings = placed(next);
  }

  /** The pool says whether the machine has just started. */
  void setColdStart(boolean now) {
    setColdStart = now;
    settings = placed(settings);
  }

  private Settings placed(Settings next) {
    Machine stated = next.machine();
    Machine machine =
        new Machine(
            stated.cores(),
            stated.memoryKb(),
            stated.runMemoryFactor(),
            0,
            setColdStart,
            stated.gaugeNames(),
            stated.stopMode());
    return new Settings(
        next.seed(),
        next.batchInterval(),
        classes.entries(),
        tenants.entries(),
        next.replicas(),
        next.callers(),
        next.weightByWork(),
        next.overQuotaWeightRatio(),
        next.cacheLifetime(),
        next.objectiveWeights(),
        next.limits(),
        next.dependency(),
        machine,
        next.signals());
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
  RequestClass findClass(String className) {
    Integer place = classes.indexOf(className);
    return place == null ? null : settings.classes().get(place);
  }

  int classIndex(String className) {
    Integer place = classes.indexOf(className);
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
