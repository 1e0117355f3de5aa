package mothwing.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SuspicionTest {
  private final FailureDetectorSettings settings = ProtocolFixture.SETTINGS;
  private final ProtocolFixture fixture = new ProtocolFixture();
  private final List<String> dead = new ArrayList<>();
  private final SuspicionTable suspicions =
      new SuspicionTable(
          fixture.self,
          fixture.members,
          fixture.dissemination,
          fixture.health,
          record -> dead.add(record.name()));

  @Test
  void shortensTimeoutWithAccusersAndExtendsItWithPoorLocalHealth() {
    Suspicion suspicion = new Suspicion(0);
    assertTrue(suspicion.addAccuser("self"));
    assertFalse(suspicion.addAccuser("self"));
    assertEquals(settings.maxSuspicionMicros(), suspicion.timeoutMicros("self", settings, 1));
    assertEquals(3 * settings.maxSuspicionMicros(), suspicion.timeoutMicros("self", settings, 3));
    suspicion.addAccuser("a");
    suspicion.addAccuser("b");
    assertEquals(settings.minSuspicionMicros(), suspicion.timeoutMicros("self", settings, 1));
    assertEquals(
        (long) (settings.maxSuspicionMicros() * settings.gossipedSuspicionMultiplier()),
        suspicion.timeoutMicros("another", settings, 1));
  }

  @Test
  void declaresSuspectDeadAfterTimeoutUnlessItRefutes() {
    Member silent = fixture.addPresent("silent");
    Member refuting = fixture.addPresent("refuting");
    suspicions.suspect(silent);
    suspicions.suspect(refuting);
    refuting.setRecord(ProtocolFixture.record("refuting", MemberState.ALIVE).withIncarnation(4));
    fixture.advance(settings.maxSuspicionMicros() - 1);
    assertEquals(List.of(), dead);
    fixture.advance(1);
    assertEquals(List.of("silent"), dead);
  }

  @Test
  void holdsBackDeathsWhileMostMembersAreSuspected() {
    for (int i = 0; i < 4; i++) {
      suspicions.suspect(fixture.addPresent("m" + i));
    }
    fixture.advance(settings.maxSuspicionMicros() + settings.massFailureHoldMicros());
    assertEquals(List.of(), dead);
    fixture.advance(2 * settings.probeIntervalMicros());
    assertEquals(4, dead.size());
  }
}
