package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.Settings;
import mothwing.control.Tenant;

/** Token buckets of requests, one per tenant, for this server's part of the tenants' quotas. */
final class TenantQuotas {
  /** Seconds of quota that a full bucket holds, as load balancing is uneven over shorter times. */
  private static final double BUCKET_SECONDS = 8;

  /** Factor that enlarges this server's part of a quota, as load balancing is uneven. */
  private static final double ENLARGEMENT_RATIO = 1.3;

  private static final class TokenBucket {
    private double tokens;

    TokenBucket(double tokens) {
      this.tokens = tokens;
    }
  }

  private final ControllerContext context;
  private List<TokenBucket> buckets = List.of();

  TenantQuotas(ControllerContext context) {
    this.context = context;
  }

  /**
   * Applies new settings, which the context already holds. A tenant whose index and name are
   * unchanged keeps its tokens and its debt.
   */
  void apply(Settings oldSettings, Settings newSettings) {
    List<TokenBucket> newBuckets = new ArrayList<>();
    for (int i = 0; i < newSettings.tenants().size(); i++) {
      String name = newSettings.tenants().get(i).name();
      boolean unchanged = i < buckets.size() && name.equals(oldSettings.tenants().get(i).name());
      newBuckets.add(
          unchanged ? buckets.get(i) : new TokenBucket(requestsPerSecond(i) * BUCKET_SECONDS));
    }
    buckets = newBuckets;
  }

  /** Returns whether a tenant has exceeded its quota; a negative index stands for no tenant. */
  boolean isOverQuota(int tenantIndex) {
    return tenantIndex >= 0 && buckets.get(tenantIndex).tokens < 0;
  }

  /**
   * Charges an admitted request to a tenant's quota; the debt is limited to one second of quota.
   */
  void charge(int tenantIndex) {
    if (tenantIndex >= 0) {
      TokenBucket bucket = buckets.get(tenantIndex);
      bucket.tokens = Math.max(-requestsPerSecond(tenantIndex), bucket.tokens - 1);
    }
  }

  /** Refills the buckets for the given number of seconds. */
  void refill(double seconds) {
    for (int i = 0; i < buckets.size(); i++) {
      TokenBucket bucket = buckets.get(i);
      double rate = requestsPerSecond(i);
      bucket.tokens = Math.min(rate * BUCKET_SECONDS, bucket.tokens + rate * seconds);
    }
  }

  private double requestsPerSecond(int tenantIndex) {
    Settings settings = context.settings();
    Tenant tenant = settings.tenants().get(tenantIndex);
    return tenant.requestsPerSecond() / Math.max(1, settings.replicas()) * ENLARGEMENT_RATIO;
  }
}
