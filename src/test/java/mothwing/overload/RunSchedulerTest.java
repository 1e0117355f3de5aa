package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class RunSchedulerTest {
  private final Parts parts = new Parts();

  @Test
  void startsTheHighestPriorityUpToTheLimit() {
    parts.hold("low", 0);
    parts.hold("high1", 1);
    parts.hold("high2", 1);
    parts.runs.startWaiting();
    assertEquals(List.of("startRun high1", "startRun high2"), parts.actions);
    assertEquals(0, parts.runs.freeSlots());
  }

  @Test
  void aRunTakesItsMemoryOnceAndResumesWithoutMore() {
    TrackedRequest request = parts.hold("one", 1);
    parts.runs.startWaiting();
    double running = parts.memory.usedKb();
    assertEquals(80, running);
    parts.clock.leave(request);
    request.moveTo(State.PAUSED);
    parts.runs.startWaiting();
    assertEquals(running, parts.memory.usedKb());
    assertTrue(request.is(State.RUNNING));
  }

  @Test
  void startsNothingThatMemoryDoesNotCover() {
    parts.hold("one", 1);
    parts.memory.reserve(821);
    parts.runs.startWaiting();
    assertEquals(List.of(), parts.actions);
  }
}
