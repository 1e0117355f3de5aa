package mothwing.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.membership.MembershipMessage.Kind;

/**
 * Detects failures by the probes of SWIM: a direct ping, then indirect pings through other members
 * together with one on a stream, then suspicion.
 */
final class FailureDetector {
  private final LocalMember self;
  private final ProbeRing ring;
  private final Dissemination dissemination;
  private final SuspicionTable suspicions;
  private final LocalHealth health;
  private final Map<Long, Probe> probes = new HashMap<>();

  FailureDetector(
      LocalMember self,
      ProbeRing ring,
      Dissemination dissemination,
      SuspicionTable suspicions,
      LocalHealth health) {
    this.self = self;
    this.ring = ring;
    this.dissemination = dissemination;
    this.suspicions = suspicions;
    this.health = health;
  }

  /** Probes the successors on the ring. */
  void probeRing() {
    for (Member member : ring.successors()) {
      probe(member);
    }
  }

  /** Probes the next member of the shuffled pass over all. */
  void probeNextShuffled() {
    ring.nextShuffled().ifPresent(this::probe);
  }

  /** Drops this process's probes: after it was paused, a missing acknowledgement proves nothing. */
  void abandonOwnProbes(MemberTable members) {
    probes.values().removeIf(probe -> !probe.isOnBehalfOfAnother());
    members.all().forEach(Member::clearOutstandingProbe);
  }

  private void probe(Member target) {
    if (target.outstandingProbe() != null) {
      return;
    }
    Probe probe = Probe.direct(self.nextSequence(), target);
    target.setOutstandingProbe(probe);
    probes.put(probe.sequence(), probe);
    dissemination.send(Kind.PING, target.address(), probe.sequence(), target.recordToRefute());
    long timeout = self.settings().ackTimeoutMicros() * health.multiplier();
    self.schedule(self.now() + timeout, () -> probeIndirectly(probe));
  }

  private boolean isPending(Probe probe) {
    return !self.isDisplaced()
        && probes.get(probe.sequence()) == probe
        && probe.target().isPresent();
  }

  private void probeIndirectly(Probe probe) {
    if (!isPending(probe)) {
      finish(probe);
      return;
    }
    requestPings(probe);
    Member target = probe.target();
    dissemination.sendStream(
        Kind.PING, target.address(), probe.sequence(), target.recordToRefute());
    long timeout = self.settings().indirectAckTimeoutMicros() * health.multiplier();
    self.schedule(self.now() + timeout, () -> conclude(probe));
  }

  private void requestPings(Probe probe) {
    int maxHelpers = self.settings().indirectProbeMembers();
    Set<Member> excluded = new HashSet<>(Set.of(probe.target()));
    boolean anyPresent = !ring.members().isEmpty();
    for (int i = 0;
        i < 2 * maxHelpers && probe.indirectRequests() < maxHelpers && anyPresent;
        i++) {
      Member helper = ring.random();
      if (helper.state() == MemberState.ALIVE && excluded.add(helper)) {
        probe.countIndirectRequest();
        dissemination.send(
            Kind.PING_REQUEST,
            helper.address(),
            probe.sequence(),
            probe.target().name(),
            List.of());
      }
    }
  }

  private void conclude(Probe probe) {
    boolean unanswered = isPending(probe);
    finish(probe);
    if (unanswered) {
      if (probe.isWithoutNacks()) {
        health.degrade(1);
      }
      suspicions.suspect(probe.target());
    }
  }

  private void finish(Probe probe) {
    probes.remove(probe.sequence(), probe);
    if (probe.target().outstandingProbe() == probe) {
      probe.target().clearOutstandingProbe();
    }
  }

  /** Handles an acknowledgement; late and repeated ones are ignored. */
  void onAck(long sequence) {
    Probe probe = probes.get(sequence);
    if (probe == null) {
      return;
    }
    if (probe.isOnBehalfOfAnother()) {
      probes.remove(sequence);
      dissemination.send(
          Kind.ACK,
          probe.requester().address(),
          probe.requesterSequence(),
          List.of(probe.target().record()));
    } else {
      health.improve();
      finish(probe);
    }
  }

  /** Counts the nack of a helper that did not reach the target in time. */
  void onNack(long sequence) {
    Probe probe = probes.get(sequence);
    if (probe != null) {
      probe.countNack();
    }
  }

  /**
   * Pings a member on behalf of another one, and responds with an ack or, after half of the
   * indirect ack timeout, a nack.
   */
  void onPingRequest(MembershipMessage request, Member target) {
    Probe probe =
        Probe.onBehalfOf(request.sender(), request.sequence(), self.nextSequence(), target);
    probes.put(probe.sequence(), probe);
    dissemination.send(Kind.PING, target.address(), probe.sequence(), target.recordToRefute());
    self.schedule(
        self.now() + self.settings().indirectAckTimeoutMicros() / 2, () -> sendNack(probe));
  }

  private void sendNack(Probe probe) {
    if (probes.remove(probe.sequence(), probe) && !self.isDisplaced()) {
      dissemination.send(
          Kind.NACK, probe.requester().address(), probe.requesterSequence(), List.of());
    }
  }
}
