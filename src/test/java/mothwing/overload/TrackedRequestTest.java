package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mothwing.control.Settings;
import mothwing.overload.TrackedRequest.State;
import org.junit.jupiter.api.Test;

class TrackedRequestTest {
  private final Settings settings = Fixtures.settings("save", "one");
  private final TrackedRequest request = Fixtures.request(settings, "one", 0);

  @Test
  void tracksRetriedCall() {
    assertEquals(State.HELD, request.state());
    request.enterCore(0);
    assertEquals(State.RUNNING, request.state());
    request.awaitCall(5);
    assertEquals(State.AWAITING_CALL, request.state());
    assertEquals(5, request.callProgress().nextAttemptAt());
    request.startCall(6);
    request.retryCallAt(9);
    assertEquals(State.AWAITING_CALL, request.state());
    request.startCall(9);
    assertEquals(State.CALLING, request.state());
    assertEquals(2, request.callProgress().attempts());
    request.enterCore(0);
    request.awaitCall(20);
    assertEquals(0, request.callProgress().attempts(), "the next call has no attempts yet");
    assertEquals(2, request.callProgress().reachedCalls());
  }

  @Test
  void usesMeasuredDurationOnlyIfEndWasReportedLate() {
    request.enterCore(0);
    request.settleCoreTime(1_000);
    request.correctCoreTime(0, 100);
    assertEquals(1_000, request.settledCoreTime(), "the measured duration is unknown");
    request.correctCoreTime(950, 100);
    assertEquals(1_000, request.settledCoreTime(), "within the tolerance");
    request.correctCoreTime(500, 100);
    assertEquals(500, request.settledCoreTime());
  }

  @Test
  void countsCoreTimeOnce() {
    assertEquals(300, request.countCoreTime(300));
    assertEquals(200, request.countCoreTime(500));
    assertEquals(0, request.countCoreTime(400));
    assertEquals(0, request.countCoreTime(500));
  }

  @Test
  void isValuableUntilDueIfLateAnswerEarnsWeight() {
    assertEquals(4 * Fixtures.SECOND, request.valuableUntil());
    request.limitDueAt(Fixtures.SECOND / 2);
    assertEquals(Fixtures.SECOND / 2, request.valuableUntil());
  }
}
