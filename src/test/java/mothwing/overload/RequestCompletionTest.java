package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class RequestCompletionTest {
  private final Parts parts = new Parts();

  @Test
  void rejectingForgetsTheKeyAndFreesAllMemory() {
    TrackedRequest request = parts.hold("one", 1);
    parts.keys.remember("one", Fixtures.SECOND);
    parts.completion.reject(request);
    assertEquals(List.of("rejectRequest one", "forgetKey one"), parts.actions);
    assertEquals(0, parts.memory.usedKb());
  }

  @Test
  void failingDuringACallLeavesTheCallOutstanding() {
    TrackedRequest request = parts.awaitCall("one");
    parts.calls.startWaiting();
    parts.completion.fail(request);
    assertEquals(1, parts.limiter.outstanding());
    assertEquals(State.AWAITING_CALL, request.state());
  }

  @Test
  void closingTwiceReleasesOnce() {
    TrackedRequest request = parts.hold("one", 1);
    parts.runs.startWaiting();
    parts.completion.close(request);
    parts.completion.close(request);
    assertEquals(0, parts.memory.usedKb());
    assertEquals(0, parts.clock.running());
    assertFalse(parts.requests.contains("one"));
  }
}
