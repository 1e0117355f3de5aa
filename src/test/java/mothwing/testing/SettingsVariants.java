package mothwing.testing;

import java.util.List;
import java.util.function.UnaryOperator;
import mothwing.control.FreeValue;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.Tenant;

/** Settings as they were but for one thing, as a new configuration brings them. */
public final class SettingsVariants {
  private SettingsVariants() {}

  /** With other classes and tenants. */
  public static Settings withClassesAndTenants(
      Settings one, List<RequestClass> classes, List<Tenant> tenants) {
    return make(one, classes, tenants, one.signals());
  }

  /** With another meaning of the free value. */
  public static Settings withFreeValue(Settings one, FreeValue meaning) {
    return signals(
        one,
        by ->
            new Signals(
                meaning,
                by.freeValueLifetime(),
                by.retryAfterHonoured(),
                by.maxRetryAfter(),
                by.cancellationsReported(),
                by.idleTimeout()));
  }

  /** With advice to stay away passed on, or not. */
  public static Settings withRetryAfterHonoured(Settings one, boolean may) {
    return signals(
        one,
        by ->
            new Signals(
                by.freeValue(),
                by.freeValueLifetime(),
                may,
                by.maxRetryAfter(),
                by.cancellationsReported(),
                by.idleTimeout()));
  }

  /** With another idle limit, in microseconds. */
  public static Settings withIdleTimeout(Settings one, long span) {
    return signals(
        one,
        by ->
            new Signals(
                by.freeValue(),
                by.freeValueLifetime(),
                by.retryAfterHonoured(),
                by.maxRetryAfter(),
                by.cancellationsReported(),
                span));
  }

  private static Settings signals(Settings one, UnaryOperator<Signals> change) {
    return make(one, one.classes(), one.tenants(), change.apply(one.signals()));
  }

  private static Settings make(
      Settings one, List<RequestClass> classes, List<Tenant> tenants, Signals signals) {
    return new Settings(
        one.seed(),
        one.batchInterval(),
        classes,
        tenants,
        one.replicas(),
        one.callers(),
        one.weightByWork(),
        one.overQuotaWeightRatio(),
        one.cacheLifetime(),
        one.objectiveWeights(),
        one.limits(),
        one.dependency(),
        one.machine(),
        signals);
  }
}
