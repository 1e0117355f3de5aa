package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlineEnforcerTest {
  private final ControllerFixture fixture = new ControllerFixture();

  private void moveToMarginBefore(long dueAt) {
    fixture.context.moveTo(dueAt - fixture.context.dueMargin());
  }

  @Test
  void rejectsHeldRequestsAndFailsAndStopsRunningOnes() {
    TrackedRequest held = fixture.hold("held", 1);
    TrackedRequest running = fixture.hold("running", 1);
    running.markStarted();
    fixture.clock.enter(running);
    moveToMarginBefore(held.dueAt());
    fixture.enforcer.enforce();
    assertEquals(
        List.of("rejectRequest held", "failRequest running", "stopRun running"), fixture.actions);
    assertTrue(fixture.requests.contains("running"), "the run still holds a core");
    fixture.enforcer.enforce();
    assertEquals(3, fixture.actions.size(), "each request is answered once");
  }

  @Test
  void leavesRequestsAloneBeforeDueMargin() {
    TrackedRequest running = fixture.hold("running", 1);
    fixture.clock.enter(running);
    moveToMarginBefore(running.dueAt() - 1);
    fixture.enforcer.enforce();
    assertEquals(List.of(), fixture.actions);
  }
}
