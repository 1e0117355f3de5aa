package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class RequestCompletionTest {
  private final ControllerFixture fixture = new ControllerFixture();

  @Test
  void rejectingForgetsKeyAndReleasesAllMemory() {
    TrackedRequest request = fixture.hold("one", 1);
    fixture.keys.remember("one", Fixtures.SECOND);
    fixture.completion.reject(request);
    assertEquals(List.of("rejectRequest one", "forgetKey one"), fixture.actions);
    assertEquals(0, fixture.memory.usedKb());
  }

  @Test
  void failingDuringCallLeavesCallOutstanding() {
    TrackedRequest request = fixture.awaitCall("one");
    fixture.calls.startWaitingCalls();
    fixture.completion.fail(request);
    assertEquals(1, fixture.limiter.outstanding());
    assertEquals(State.AWAITING_CALL, request.state());
  }

  @Test
  void closingTwiceReleasesMemoryOnce() {
    TrackedRequest request = fixture.hold("one", 1);
    fixture.runs.startWaitingRuns();
    fixture.completion.close(request);
    fixture.completion.close(request);
    assertEquals(0, fixture.memory.usedKb());
    assertEquals(0, fixture.clock.running());
    assertFalse(fixture.requests.contains("one"));
  }
}
