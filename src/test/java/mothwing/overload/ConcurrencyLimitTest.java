package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
  private final ConcurrencyLimit limit = new ConcurrencyLimit(2);

  @Test
  void growsToCeilingWhileCoresAreIdleAndRequestsWait() {
    limit.updateFromSample(1, 0.5, false, 6, 2, true);
    assertEquals(2, limit.limit());
    limit.updateFromSample(3, 0.5, true, 6, 2, true);
    assertEquals(5, limit.limit());
    limit.updateFromSample(3, 0.5, true, 6, 2, true);
    assertEquals(6, limit.limit());
  }

  @Test
  void fallsByOneOnBusyCoresButNotBelowCoreCount() {
    limit.updateFromSample(2, 0.5, true, 6, 2, true);
    limit.updateFromSample(1, 1, true, 6, 2, false);
    assertEquals(4, limit.limit());
    for (int i = 0; i < 9; i++) {
      limit.updateFromSample(1, 1, true, 6, 2, true);
    }
    assertEquals(2, limit.limit());
  }

  @Test
  void shrinksAfterFivePeriodsWithoutGaugesAndReportsItOnce() {
    limit.updateFromSample(4, 0.5, true, 6, 2, true);
    assertFalse(limit.updateWithoutSample(1, 5_000, 1_000, 2));
    assertEquals(6, limit.limit());
    assertTrue(limit.updateWithoutSample(1, 5_001, 1_000, 2));
    assertFalse(limit.updateWithoutSample(9, 6_000, 1_000, 2));
    assertEquals(2, limit.limit());
  }
}
