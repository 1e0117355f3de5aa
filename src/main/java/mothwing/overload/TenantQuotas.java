package mothwing.overload;

import java.util.ArrayList;
import java.util.List;
import mothwing.control.Settings;
import mothwing.control.Tenant;

/** A token bucket of requests for each tenant: this server's part of the tenant's quota. */
final class TenantQuotas {
  /** Seconds of quota that a full bucket holds: balancing is uneven over less. */
  private static final double BUCKET_SECONDS = 8;

  /** Ratio by which this server's part of a quota is enlarged, for the same reason. */
  private static final double LEEWAY_RATIO = 1.3;

  private static final class Account {
    private double tokens;

    Account(double tokens) {
      this.tokens = tokens;
    }
  }

  private final ControllerContext context;
  private List<Account> accounts = List.of();

  TenantQuotas(ControllerContext context) {
    this.context = context;
  }

  /** Takes the tenants of new settings, which are in force; a debt stays with the tenant's name. */
  void apply(Settings before, Settings after) {
    List<Account> next = new ArrayList<>();
    for (int i = 0; i < after.tenants().size(); i++) {
      String name = after.tenants().get(i).name();
      boolean known = i < accounts.size() && name.equals(before.tenants().get(i).name());
      next.add(known ? accounts.get(i) : new Account(requestsPerSecond(i) * BUCKET_SECONDS));
    }
    accounts = next;
  }

  /** Whether a tenant has used up its quota; a negative index stands for no tenant. */
  boolean isOverQuota(int tenantIndex) {
    return tenantIndex >= 0 && accounts.get(tenantIndex).tokens < 0;
  }

  /** Takes an admitted request off a tenant's quota; a debt is one second's quota at most. */
  void charge(int tenantIndex) {
    if (tenantIndex >= 0) {
      Account account = accounts.get(tenantIndex);
      account.tokens = Math.max(-requestsPerSecond(tenantIndex), account.tokens - 1);
    }
  }

  /** Fills the buckets for some seconds. */
  void refill(double seconds) {
    for (int i = 0; i < accounts.size(); i++) {
      Account account = accounts.get(i);
      double rate = requestsPerSecond(i);
      account.tokens = Math.min(rate * BUCKET_SECONDS, account.tokens + rate * seconds);
    }
  }

  private double requestsPerSecond(int tenantIndex) {
    Settings settings = context.settings();
    Tenant tenant = settings.tenants().get(tenantIndex);
    return tenant.requestsPerSecond() / Math.max(1, settings.replicas()) * LEEWAY_RATIO;
  }
}
