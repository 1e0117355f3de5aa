package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class RunSchedulerTest {
  private final ControllerFixture fixture = new ControllerFixture();

  @Test
  void startsHighestPrioritiesUpToLimit() {
    fixture.hold("low", 0);
    fixture.hold("high1", 1);
    fixture.hold("high2", 1);
    fixture.runs.startWaitingRuns();
    assertEquals(List.of("startRun high1", "startRun high2"), fixture.actions);
    assertEquals(0, fixture.runs.freeSlots());
  }

  @Test
  void runReservesMemoryOnceAndResumesWithoutMore() {
    TrackedRequest request = fixture.hold("one", 1);
    fixture.runs.startWaitingRuns();
    double runningKb = fixture.memory.usedKb();
    assertEquals(80, runningKb);
    fixture.clock.leave(request);
    request.moveTo(State.PAUSED);
    fixture.runs.startWaitingRuns();
    assertEquals(runningKb, fixture.memory.usedKb());
    assertTrue(request.is(State.RUNNING));
  }

  @Test
  void startsNoRunBeyondMemory() {
    fixture.hold("one", 1);
    fixture.memory.reserve(821);
    fixture.runs.startWaitingRuns();
    assertEquals(List.of(), fixture.actions);
  }
}
