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
  private boolean cold;

  /**
   * Makes the first settings.
   *
   * @param told the settings
   */
  ActiveSettings(Settings told) {
    take(told, Set.of());
  }

  /** Takes new settings; what is open goes on under the class that it was read under. */
  void take(Settings told, Collection<Exchange> open) {
    BitSet classesUsed = new BitSet();
    BitSet tenantsUsed = new BitSet();
    for (Exchange one : open) {
      classesUsed.set(one.classPlace()); // what is open has one
      tenantsUsed.set(one.tenantPlace() + 1); // 0 stands for none
    }
    classes.take(told.classes(), classesUsed::get);
    tenants.take(told.tenants(), place -> tenantsUsed.get(place + 1));
    settings = placed(told);
  }

  /** The pool says whether the machine has just started. */
  void cold(boolean now) {
    cold = now;
    settings = placed(settings);
  }

  private Settings placed(Settings told) {
    Machine one = told.machine();
    Machine machine =
        new Machine(
            one.cores(), one.memory(), one.runFactor(), 0, cold, one.gauges(), one.halting());
    return new Settings(
        told.seed(),
        told.round(),
        classes.all(),
        tenants.all(),
        told.replicas(),
        told.callers(),
        told.worthByWork(),
        told.overShareWorth(),
        told.freshFor(),
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

  /** The class of a name that is known now, or null. */
  RequestClass known(String kind) {
    Integer place = classes.place(kind);
    return place == null ? null : settings.classes().get(place);
  }

  int classPlace(String kind) {
    Integer place = classes.place(kind);
    return place == null ? -1 : place;
  }

  int tenantPlace(String tenant) {
    Integer place = tenants.place(tenant);
    return place == null ? -1 : place;
  }

  boolean knowsTenant(String tenant) {
    return tenants.none() || tenants.place(tenant) != null;
  }

  /** The names of the classes that are known now. */
  Set<String> names() {
    return settings.classes().stream()
        .map(RequestClass::name)
        .filter(name -> classes.place(name) != null)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }
}
