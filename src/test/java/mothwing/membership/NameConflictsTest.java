package mothwing.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.membership.MembershipMessage.Kind;
import org.junit.jupiter.api.Test;

class NameConflictsTest {
  private final ProtocolFixture fixture = new ProtocolFixture();
  private final NameConflicts conflicts =
      new NameConflicts(fixture.self, fixture.dissemination, fixture.health, () -> true);

  private static MemberRecord otherProcess(long instanceId) {
    return new MemberRecord("self", instanceId, "other:1", "zone", 3, MemberState.ALIVE, "self");
  }

  private void answerChallenge(MemberRecord other) {
    conflicts.onRecord(other);
    long sequence = fixture.sent.get(fixture.sent.size() - 1).sequence();
    conflicts.onMessage(new MembershipMessage("cluster", Kind.ACK, sequence, "", other, List.of()));
  }

  @Test
  void refutesSuspicionWithHigherIncarnation() {
    conflicts.onRecord(fixture.self.record().withState(MemberState.SUSPECT, "x"));
    assertEquals(4, fixture.self.record().incarnation());
    conflicts.onRecord(ProtocolFixture.record("self", MemberState.DEAD));
    assertEquals(4, fixture.self.record().incarnation(), "an older record needs no refutation");
  }

  @Test
  void higherInstanceIdWinsBetweenLiveProcesses() {
    answerChallenge(otherProcess(0));
    assertFalse(fixture.self.isDisplaced());
    assertEquals(4, fixture.self.record().incarnation());
    answerChallenge(otherProcess(9).withIncarnation(4));
    assertTrue(fixture.self.isDisplaced());
    assertEquals(List.of(MembershipEvent.Type.DISPLACED), fixture.events);
  }

  @Test
  void supersedesProcessThatDoesNotAnswerChallenge() {
    conflicts.onRecord(otherProcess(9));
    assertEquals(3, fixture.self.record().incarnation());
    fixture.advance(1_000_000);
    assertEquals(4, fixture.self.record().incarnation());
  }
}
