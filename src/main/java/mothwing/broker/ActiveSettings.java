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
 * Holds the settings in force. The indexes of classes and tenants do not change while an open
 * request refers to them.
 */
final class ActiveSettings {
  private final StableIndex<RequestClass> classes = new StableIndex<>(RequestClass::name);
  private final StableIndex<Tenant> tenants = new StableIndex<>(Tenant::name);
  private Settings settings;
  private boolean coldStart;

  /**
   * Creates the holder with the initial settings.
   *
   * @param next the settings
   */
  ActiveSettings(Settings next) {
    apply(next, Set.of());
  }

  /** Replaces the settings; open requests keep the class that applied when they were read. */
  void apply(Settings next, Collection<Exchange> openRequests) {
    BitSet classesUsed = new BitSet();
    BitSet tenantsUsed = new BitSet();
    for (Exchange exchange : openRequests) {
      // bit 0 of tenantsUsed stands for requests without a tenant
      classesUsed.set(exchange.classIndex());
      tenantsUsed.set(exchange.tenantIndex() + 1);
    }
    classes.update(next.classes(), classesUsed::get);
    tenants.update(next.tenants(), index -> tenantsUsed.get(index + 1));
    settings = withStableIndexes(next);
  }

  /** Records whether the pool reports a fresh start, so that a slow start is needed. */
  void setColdStart(boolean isColdStart) {
    coldStart = isColdStart;
    settings = withStableIndexes(settings);
  }

  private Settings withStableIndexes(Settings next) {
    Machine configured = next.machine();
    Machine machine =
        new Machine(
            configured.cores(),
            configured.memoryKb(),
            configured.runMemoryFactor(),
            0,
            coldStart,
            configured.gaugeNames(),
            configured.stopMode());
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

  /** The settings as the controller sees them, with classes and tenants at their stable indexes. */
  Settings settings() {
    return settings;
  }

  /** The longest retry advice of a rejection, in microseconds, or 0 if the settings allow none. */
  long maxRetryAfterMicros() {
    return settings.signals().retryAfterHonoured() ? settings.signals().maxRetryAfter() : 0;
  }

  /** The class of this name in the current settings, or null. */
  RequestClass findClass(String className) {
    Integer index = classes.indexOf(className);
    return index == null ? null : settings.classes().get(index);
  }

  int classIndex(String className) {
    Integer index = classes.indexOf(className);
    return index == null ? -1 : index;
  }

  int tenantIndex(String tenant) {
    Integer index = tenants.indexOf(tenant);
    return index == null ? -1 : index;
  }

  boolean isKnownTenant(String tenant) {
    return tenants.isEmpty() || tenants.indexOf(tenant) != null;
  }

  /** The names of the classes in the current settings. */
  Set<String> classNames() {
    return settings.classes().stream()
        .map(RequestClass::name)
        .filter(name -> classes.indexOf(name) != null)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }
}
