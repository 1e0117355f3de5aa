package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mothwing.control.GaugeSample;
import org.junit.jupiter.api.Test;

class DeadlineAdmissionTest {
  private static final int CALLING = 0;
  private static final int NOT_CALLING = 1;

  private final ControllerFixture fixture = new ControllerFixture();

  /**
   * Occupies the cores, so that only answers within the latency objective are worth running for.
   */
  private void fillCores() {
    for (int i = 0; i < Fixtures.CORES; i++) {
      fixture.clock.enter(Fixtures.request(fixture.settings, "busy" + i, NOT_CALLING));
    }
    fixture.monitor.beginSample(10 * Fixtures.SECOND);
    fixture.monitor.measureUtilization(GaugeSample.absent(1));
  }

  @Test
  void countsOnlyWorkOfSameOrHigherPriority() {
    fillCores();
    for (int i = 0; i < 20; i++) {
      fixture.hold("low" + i, CALLING);
    }
    assertTrue(fixture.deadlines.canMeet(fixture.hold("high", NOT_CALLING)));
    assertFalse(fixture.deadlines.canMeet(fixture.hold("low", CALLING)));
  }

  @Test
  void runsForLateAnswersOnlyOnIdleCores() {
    TrackedRequest request = fixture.hold("one", NOT_CALLING);
    assertEquals(request.valuableUntil(), fixture.deadlines.latestUsefulAnswerAt(request));
    fillCores();
    assertEquals(request.objectiveAt(), fixture.deadlines.latestUsefulAnswerAt(request));
  }

  @Test
  void reservesMoreTimeForRunOnBusyCores() {
    TrackedRequest request = fixture.hold("one", NOT_CALLING);
    assertEquals(
        0.3 * fixture.costs.expectedCoreTime(request), fixture.deadlines.runTime(request), 1);
    fillCores();
    assertEquals(
        1.3 * fixture.costs.expectedCoreTime(request), fixture.deadlines.runTime(request), 1);
  }
}
