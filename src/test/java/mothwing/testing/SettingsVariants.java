package mothwing.testing;

import java.util.List;
import java.util.function.UnaryOperator;
import mothwing.control.FreeValue;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.control.Signals;
import mothwing.control.Tenant;

/** Creates copies of settings with one change each, for tests of changed configurations. */
public final class SettingsVariants {
  private SettingsVariants() {}

  /** Replaces the classes and tenants. */
  public static Settings withClassesAndTenants(
      Settings base, List<RequestClass> classes, List<Tenant> tenants) {
    return copy(base, classes, tenants, base.signals());
  }

  /** Replaces the meaning of the free value. */
  public static Settings withFreeValue(Settings base, FreeValue freeValue) {
    return withSignals(
        base,
        signals ->
            new Signals(
                freeValue,
                signals.freeValueLifetime(),
                signals.retryAfterHonoured(),
                signals.maxRetryAfter(),
                signals.cancellationsReported(),
                signals.idleTimeout()));
  }

  /** Sets whether Retry-After is honoured. */
  public static Settings withRetryAfterHonoured(Settings base, boolean honoured) {
    return withSignals(
        base,
        signals ->
            new Signals(
                signals.freeValue(),
                signals.freeValueLifetime(),
                honoured,
                signals.maxRetryAfter(),
                signals.cancellationsReported(),
                signals.idleTimeout()));
  }

  /** Replaces the idle timeout, in microseconds. */
  public static Settings withIdleTimeout(Settings base, long idleTimeoutMicros) {
    return withSignals(
        base,
        signals ->
            new Signals(
                signals.freeValue(),
                signals.freeValueLifetime(),
                signals.retryAfterHonoured(),
                signals.maxRetryAfter(),
                signals.cancellationsReported(),
                idleTimeoutMicros));
  }

  private static Settings withSignals(Settings base, UnaryOperator<Signals> change) {
    return copy(base, base.classes(), base.tenants(), change.apply(base.signals()));
  }

  private static Settings copy(
      Settings base, List<RequestClass> classes, List<Tenant> tenants, Signals signals) {
    return new Settings(
        base.seed(),
        base.batchInterval(),
        classes,
        tenants,
        base.replicas(),
        base.callers(),
        base.weightByWork(),
        base.overQuotaWeightRatio(),
        base.cacheLifetime(),
        base.objectiveWeights(),
        base.limits(),
        base.dependency(),
        base.machine(),
        signals);
  }
}
