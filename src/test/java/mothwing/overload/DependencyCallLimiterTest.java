package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DependencyCallLimiterTest {
  private final ControllerContext context = Fixtures.context();
  private final DependencyCallLimiter limiter = new DependencyCallLimiter(context);

  private void pass(long micros) {
    limiter.advance((double) micros);
    context.moveTo(context.now() + micros);
    limiter.expireAbandoned();
  }

  @Test
  void allowsTwiceTheQuotaAtOnce() {
    assertTrue(limiter.mayStart());
    limiter.started();
    assertTrue(limiter.mayStart());
    limiter.started();
    assertFalse(limiter.mayStart());
  }

  @Test
  void anAbandonedCallCountsUntilTheDependencyHasEndedIt() {
    limiter.started();
    limiter.abandoned();
    assertEquals(0, limiter.inFlight());
    assertEquals(1, limiter.outstanding());
    pass(Fixtures.SECOND / 5);
    assertEquals(0, limiter.outstanding());
  }

  @Test
  void callsThatHangUseUpTheCallTime() {
    limiter.started();
    pass(2 * Fixtures.SECOND);
    assertTrue(limiter.admissionCallTime() < 0);
    assertFalse(limiter.mayStart());
    limiter.ended(0);
    pass(5 * Fixtures.SECOND);
    assertTrue(limiter.mayStart());
  }

  @Test
  void learnsTheCallTimeAndForgetsItWhileNoCallIsInFlight() {
    limiter.started();
    pass(1_000);
    limiter.ended(0);
    assertEquals(300, limiter.expectedCallTime(), 1e-9);
    limiter.started();
    limiter.fade(1);
    assertEquals(300, limiter.expectedCallTime(), 1e-9);
    limiter.ended(context.now());
    limiter.fade(3);
    assertEquals(0, limiter.expectedCallTime(), 1e-9);
  }
}
