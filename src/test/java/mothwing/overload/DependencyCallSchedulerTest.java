package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.control.RunOutcome;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class DependencyCallSchedulerTest {
  private final ControllerFixture fixture = new ControllerFixture();

  @Test
  void retriesCallAfterBackoffAndFailsRequestAfterFourAttempts() {
    TrackedRequest request = fixture.awaitCall("one");
    for (int attempt = 1; attempt <= 4; attempt++) {
      fixture.calls.startWaitingCalls();
      assertTrue(request.is(State.CALLING));
      fixture.calls.handleEnded(request, RunOutcome.REJECTED);
      fixture.calls.startWaitingCalls();
      assertEquals(
          attempt, request.callProgress().attempts(), "no attempt before the backoff has passed");
      long backoff = fixture.context.samplePeriod() << attempt;
      fixture.context.moveTo(fixture.context.now() + backoff);
    }
    assertEquals("failRequest one", fixture.actions.get(fixture.actions.size() - 1));
  }

  @Test
  void timedOutCallCountsAsOutstanding() {
    TrackedRequest request = fixture.awaitCall("one");
    fixture.calls.startWaitingCalls();
    fixture.calls.handleEnded(request, RunOutcome.TIMED_OUT);
    assertEquals(1, fixture.limiter.outstanding());
    assertEquals(0, fixture.limiter.inFlight());
  }

  @Test
  void successfulCallReturnsItsRunToCores() {
    TrackedRequest request = fixture.awaitCall("one");
    fixture.calls.startWaitingCalls();
    fixture.calls.handleEnded(request, RunOutcome.SUCCEEDED);
    assertTrue(request.is(State.RUNNING));
    assertEquals(1, fixture.clock.running());
    assertEquals(List.of("startCall one"), fixture.actions);
  }
}
