package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mothwing.control.GaugeSample;
import org.junit.jupiter.api.Test;

class DeadlineAdmissionTest {
  private static final int CALLING = 0;
  private static final int OTHER = 1;

  private final Parts parts = new Parts();

  /** Makes the cores busy, so that only answers within the latency objective are sought. */
  private void fillCores() {
    for (int i = 0; i < Fixtures.CORES; i++) {
      parts.clock.enter(Fixtures.request(parts.settings, "busy" + i, OTHER));
    }
    parts.monitor.beginSample(10 * Fixtures.SECOND);
    parts.monitor.measureCores(GaugeSample.absent(1));
  }

  @Test
  void countsOnlyWorkOfNoLowerPriority() {
    fillCores();
    for (int i = 0; i < 20; i++) {
      parts.hold("low" + i, CALLING);
    }
    assertTrue(parts.deadlines.canMeet(parts.hold("high", OTHER)));
    assertFalse(parts.deadlines.canMeet(parts.hold("low", CALLING)));
  }

  @Test
  void seeksLateAnswersOnlyOnIdleCores() {
    TrackedRequest request = parts.hold("one", OTHER);
    assertEquals(request.valuableUntil(), parts.deadlines.soughtUntil(request));
    fillCores();
    assertEquals(request.objectiveAt(), parts.deadlines.soughtUntil(request));
  }

  @Test
  void reservesMoreTimeForARunOnBusyCores() {
    TrackedRequest request = parts.hold("one", OTHER);
    assertEquals(0.3 * parts.costs.expected(request), parts.deadlines.runTime(request), 1);
    fillCores();
    assertEquals(1.3 * parts.costs.expected(request), parts.deadlines.runTime(request), 1);
  }
}
