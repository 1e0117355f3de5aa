package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
  private final ConcurrencyLimit limit = new ConcurrencyLimit(2);

  @Test
  void growsToTheCeilingWhileCoresAreIdleThoughWorkWaits() {
    limit.sampled(1, 0.5, false, 6, 2, true);
    assertEquals(2, limit.limit());
    limit.sampled(3, 0.5, true, 6, 2, true);
    assertEquals(5, limit.limit());
    limit.sampled(3, 0.5, true, 6, 2, true);
    assertEquals(6, limit.limit());
  }

  @Test
  void fallsByOneOnBusyCoresNeverBelowThem() {
    limit.sampled(2, 0.5, true, 6, 2, true);
    limit.sampled(1, 1, true, 6, 2, false);
    assertEquals(4, limit.limit());
    for (int i = 0; i < 9; i++) {
      limit.sampled(1, 1, true, 6, 2, true);
    }
    assertEquals(2, limit.limit());
  }

  @Test
  void shrinksAfterFivePeriodsWithoutGaugesAndReportsItOnce() {
    limit.sampled(4, 0.5, true, 6, 2, true);
    assertFalse(limit.unsampled(1, 5_000, 1_000, 2));
    assertEquals(6, limit.limit());
    assertTrue(limit.unsampled(1, 5_001, 1_000, 2));
    assertFalse(limit.unsampled(9, 6_000, 1_000, 2));
    assertEquals(2, limit.limit());
  }
}
