package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlineEnforcerTest {
  private final Parts parts = new Parts();

  private void moveToMarginBefore(long dueAt) {
    parts.context.moveTo(dueAt - parts.context.dueMargin());
  }

  @Test
  void rejectsWhatNeverRanAndFailsAndStopsWhatRuns() {
    TrackedRequest held = parts.hold("held", 1);
    TrackedRequest running = parts.hold("running", 1);
    running.markRan();
    parts.clock.enter(running);
    moveToMarginBefore(held.dueAt());
    parts.enforcer.enforce();
    assertEquals(
        List.of("rejectRequest held", "failRequest running", "stopRun running"), parts.actions);
    assertTrue(parts.requests.contains("running"), "its run still holds a core");
    parts.enforcer.enforce();
    assertEquals(3, parts.actions.size(), "each is answered once");
  }

  @Test
  void leavesEverythingAloneBeforeItsMargin() {
    TrackedRequest running = parts.hold("running", 1);
    parts.clock.enter(running);
    moveToMarginBefore(running.dueAt() - 1);
    parts.enforcer.enforce();
    assertEquals(List.of(), parts.actions);
  }
}
