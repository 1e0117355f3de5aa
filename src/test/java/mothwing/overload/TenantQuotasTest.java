package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mothwing.control.Settings;
import org.junit.jupiter.api.Test;

class TenantQuotasTest {
  /** Requests in a full bucket: eight seconds of 10 requests, enlarged by 30 percent. */
  private static final int FULL_BUCKET = 104;

  private final Settings settings = Fixtures.settings("save", "one");
  private final ControllerContext context = new ControllerContext(settings);
  private final TenantQuotas quotas = new TenantQuotas(context);

  TenantQuotasTest() {
    quotas.apply(settings, settings);
  }

  private void exhaustQuota() {
    for (int i = 0; i <= FULL_BUCKET; i++) {
      quotas.charge(0);
    }
  }

  @Test
  void tenantIsOverQuotaOnceItsBucketIsInDebt() {
    for (int i = 0; i < FULL_BUCKET; i++) {
      quotas.charge(0);
    }
    assertFalse(quotas.isOverQuota(0));
    quotas.charge(0);
    assertTrue(quotas.isOverQuota(0));
    quotas.refill(0.1);
    assertFalse(quotas.isOverQuota(0));
  }

  @Test
  void debtIsRepaidWithinOneSecond() {
    exhaustQuota();
    exhaustQuota();
    quotas.refill(1);
    assertFalse(quotas.isOverQuota(0));
  }

  @Test
  void debtStaysWithTenantName() {
    exhaustQuota();
    quotas.apply(settings, Fixtures.settings("other", "one"));
    assertTrue(quotas.isOverQuota(0));
    quotas.apply(settings, Fixtures.settings("save", "two"));
    assertFalse(quotas.isOverQuota(0));
  }

  @Test
  void requestsWithoutTenantHaveNoQuota() {
    quotas.charge(-1);
    assertFalse(quotas.isOverQuota(-1));
  }
}
