package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mothwing.control.Settings;
import org.junit.jupiter.api.Test;

class TenantQuotasTest {
  /** Eight seconds of 10 requests, with the leeway of 30 percent. */
  private static final int FULL_BUCKET = 104;

  private final Settings settings = Fixtures.settings("save", "one");
  private final ControllerContext context = new ControllerContext(settings);
  private final TenantQuotas quotas = new TenantQuotas(context);

  TenantQuotasTest() {
    quotas.apply(settings, settings);
  }

  private void useUp() {
    for (int i = 0; i <= FULL_BUCKET; i++) {
      quotas.charge(0);
    }
  }

  @Test
  void aTenantIsOverQuotaOnceItsBucketIsInDebt() {
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
  void aDebtIsRepaidWithinOneSecond() {
    useUp();
    useUp();
    quotas.refill(1);
    assertFalse(quotas.isOverQuota(0));
  }

  @Test
  void aDebtStaysWithTheNameOfItsTenant() {
    useUp();
    quotas.apply(settings, Fixtures.settings("other", "one"));
    assertTrue(quotas.isOverQuota(0));
    quotas.apply(settings, Fixtures.settings("save", "two"));
    assertFalse(quotas.isOverQuota(0));
  }

  @Test
  void requestsWithoutATenantHaveNoQuota() {
    quotas.charge(-1);
    assertFalse(quotas.isOverQuota(-1));
  }
}
