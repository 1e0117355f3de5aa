package mothwing.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import mothwing.membership.MembershipMessage.Kind;
import org.junit.jupiter.api.Test;

class FailureDetectorTest {
  private final ProtocolFixture fixture = new ProtocolFixture();
  private final FailureDetectorSettings settings = ProtocolFixture.SETTINGS;
  private final FailureDetector detector =
      new FailureDetector(
          fixture.self,
          fixture.ring,
          fixture.dissemination,
          new SuspicionTable(
              fixture.self, fixture.members, fixture.dissemination, fixture.health, record -> {}),
          fixture.health);

  @Test
  void probesIndirectlyThenSuspectsUnansweringMember() {
    Member target = fixture.addPresent("target");
    detector.probeRing();
    detector.probeRing();
    assertEquals(
        List.of(Kind.PING), fixture.sentKinds(), "at most one outstanding probe per member");
    fixture.addPresent("helper");
    fixture.advance(settings.ackTimeoutMicros());
    assertEquals(List.of(Kind.PING, Kind.PING_REQUEST, Kind.PING), fixture.sentKinds());
    assertEquals("target", fixture.sent.get(1).pingTarget());
    fixture.advance(settings.indirectAckTimeoutMicros());
    assertEquals(MemberState.SUSPECT, target.state());
    assertEquals(2, fixture.health.multiplier(), "local health degrades if no helper sends a nack");
    assertNull(target.outstandingProbe());
  }

  @Test
  void endsProbeOnAckAndKeepsLocalHealthOnNack() {
    Member target = fixture.addPresent("target");
    detector.probeRing();
    detector.onAck(fixture.sent.get(0).sequence());
    fixture.advance(10 * settings.ackTimeoutMicros());
    assertEquals(MemberState.ALIVE, target.state());
    assertEquals(1, fixture.sent.size());
    detector.probeRing();
    fixture.addPresent("helper");
    fixture.advance(settings.ackTimeoutMicros());
    detector.onNack(fixture.sent.get(1).sequence());
    fixture.advance(settings.indirectAckTimeoutMicros());
    assertEquals(List.of(MembershipEvent.Type.SUSPECTED), fixture.events);
    assertEquals(1, fixture.health.multiplier());
  }

  @Test
  void respondsToPingRequestWithSequenceOfRequester() {
    Member target = fixture.addPresent("target");
    MembershipMessage request =
        new MembershipMessage(
            "cluster",
            Kind.PING_REQUEST,
            77,
            "target",
            ProtocolFixture.record("requester", MemberState.ALIVE),
            List.of());
    detector.onPingRequest(request, target);
    detector.onAck(fixture.sent.get(0).sequence());
    detector.onPingRequest(request, target);
    fixture.advance(settings.indirectAckTimeoutMicros());
    assertEquals(List.of(Kind.PING, Kind.ACK, Kind.PING, Kind.NACK), fixture.sentKinds());
    assertEquals(77, fixture.sent.get(1).sequence());
    assertEquals(77, fixture.sent.get(3).sequence());
  }
}
