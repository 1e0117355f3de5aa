package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.control.RunOutcome;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class DependencyCallSchedulerTest {
  private final Parts parts = new Parts();

  @Test
  void retriesACallAfterItsBackoffAndFailsTheRequestAfterFourAttempts() {
    TrackedRequest request = parts.awaitCall("one");
    for (int attempt = 1; attempt <= 4; attempt++) {
      parts.calls.startWaiting();
      assertTrue(request.is(State.CALLING));
      parts.calls.ended(request, RunOutcome.REJECTED);
      parts.calls.startWaiting();
      assertEquals(attempt, request.call().attempts(), "not before the backoff");
      long backoff = parts.context.samplePeriod() << attempt;
      parts.context.moveTo(parts.context.now() + backoff);
    }
    assertEquals("failRequest one", parts.actions.get(parts.actions.size() - 1));
  }

  @Test
  void aCallThatMayStillRunCountsAsOutstanding() {
    TrackedRequest request = parts.awaitCall("one");
    parts.calls.startWaiting();
    parts.calls.ended(request, RunOutcome.TIMED_OUT);
    assertEquals(1, parts.limiter.outstanding());
    assertEquals(0, parts.limiter.inFlight());
  }

  @Test
  void aSuccessfulCallReturnsItsRunToTheCores() {
    TrackedRequest request = parts.awaitCall("one");
    parts.calls.startWaiting();
    parts.calls.ended(request, RunOutcome.SUCCEEDED);
    assertTrue(request.is(State.RUNNING));
    assertEquals(1, parts.clock.running());
    assertEquals(List.of("startCall one"), parts.actions);
  }
}
