package mothwing.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mothwing.membership.MembershipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Probe ring, isolation detector, anti-entropy exchange and flap detector. */
class MembershipComponentsTest {
  private final ProtocolFixture fixture = new ProtocolFixture();

  @Test
  void keepsSuccessorsOnRingAndVisitsEachMemberOncePerShuffledPass() {
    for (int i = 0; i < 6; i++) {
      fixture.addPresent("m" + i);
    }
    List<Member> successors = fixture.ring.successors();
    assertEquals(ProtocolFixture.SETTINGS.ringSuccessors(), new HashSet<>(successors).size());
    assertEquals(successors, fixture.ring.successors());
    Set<Member> visited = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      visited.add(fixture.ring.nextShuffled().orElseThrow());
    }
    assertEquals(6, visited.size());
  }

  @Test
  void isIsolatedFromTimeoutUntilNextMessage() {
    IsolationDetector isolation = new IsolationDetector(fixture.self, fixture.members, true);
    long timeout = ProtocolFixture.SETTINGS.isolationTimeoutMicros();
    isolation.start(0);
    assertFalse(isolation.update(timeout));
    assertTrue(isolation.update(timeout + 1));
    assertTrue(isolation.isIsolated());
    fixture.advance(timeout + 2);
    isolation.recordMessageFrom("any");
    assertTrue(isolation.update(timeout + 2));
    assertFalse(isolation.isIsolated());
  }

  @Test
  void retriesJoinUntilSeedResponds() {
    AntiEntropyExchange exchange =
        new AntiEntropyExchange(
            fixture.self, fixture.members, fixture.dissemination, List.of("seed:1"));
    exchange.join(new IsolationDetector(fixture.self, fixture.members, true));
    fixture.advance(5_000_000);
    int requests = fixture.sent.size();
    assertTrue(requests > 1);
    assertEquals(Set.of(Kind.SYNC_REQUEST), Set.copyOf(fixture.sentKinds()));
    exchange.onResponse();
    fixture.advance(30_000_000);
    assertEquals(requests, fixture.sent.size());
  }

  @Test
  void beginsFlappingAtThirdQuickDeathAndEndsItAfterDecay() {
    FlapDetector flaps = new FlapDetector();
    assertFalse(flaps.recordDeath("m", 0));
    assertFalse(flaps.recordDeath("m", 1_000_000));
    assertTrue(flaps.recordDeath("m", 2_000_000));
    assertEquals(List.of(), flaps.takeStabilized(60_000_000));
    assertEquals(Set.of("m"), flaps.flappingMembers());
    assertEquals(List.of("m"), flaps.takeStabilized(130_000_000));
    assertEquals(Set.of(), flaps.flappingMembers());
  }
}
