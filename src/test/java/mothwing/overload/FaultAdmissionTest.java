package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mothwing.control.Settings;
import org.junit.jupiter.api.Test;

class FaultAdmissionTest {
  private final Settings settings = Fixtures.settings("save", "one");
  private final TrackedRequest calling = Fixtures.request(settings, "calling", 0);
  private final TrackedRequest notCalling = Fixtures.request(settings, "notCalling", 1);
  private final FaultAdmission faults = new FaultAdmission();

  FaultAdmissionTest() {
    faults.apply(settings);
  }

  @Test
  void failingCallsRejectOnlyClassesThatCall() {
    for (int i = 0; i < 5; i++) {
      faults.recordCall(false);
    }
    assertTrue(faults.shouldReject(calling));
    assertFalse(faults.shouldReject(notCalling));
    assertFalse(faults.areRunsFailing());
  }

  @Test
  void failingRunsRejectEveryClassUntilRecovery() {
    for (int i = 0; i < 5; i++) {
      faults.recordRun(false);
    }
    assertTrue(faults.areRunsFailing());
    assertTrue(faults.shouldReject(notCalling));
    faults.recover(2, 1);
    assertFalse(faults.shouldReject(notCalling));
  }
}
