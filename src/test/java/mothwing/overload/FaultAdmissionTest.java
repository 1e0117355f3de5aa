package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mothwing.control.Settings;
import org.junit.jupiter.api.Test;

class FaultAdmissionTest {
  private final Settings settings = Fixtures.settings("save", "one");
  private final TrackedRequest calling = Fixtures.request(settings, "calling", 0);
  private final TrackedRequest other = Fixtures.request(settings, "other", 1);
  private final FaultAdmission faults = new FaultAdmission();

  FaultAdmissionTest() {
    faults.apply(settings);
  }

  @Test
  void failingCallsHoldBackOnlyTheClassesThatCall() {
    for (int i = 0; i < 5; i++) {
      faults.recordCall(false);
    }
    assertTrue(faults.holdsBack(calling));
    assertFalse(faults.holdsBack(other));
    assertFalse(faults.runsFail());
  }

  @Test
  void failingRunsHoldBackEveryClassUntilTheyRecover() {
    for (int i = 0; i < 5; i++) {
      faults.recordRun(false);
    }
    assertTrue(faults.runsFail());
    assertTrue(faults.holdsBack(other));
    faults.forget(2, 1);
    assertFalse(faults.holdsBack(other));
  }
}
