package mothwing.membership;

import java.util.ArrayList;
import java.util.List;
import mothwing.membership.MembershipMessage.Kind;

/** Sends messages, and disseminates records by gossip that is piggybacked on every datagram. */
final class Dissemination {
  private static final long PUSH_INTERVAL_MICROS = 20_000;
  private static final int PUSH_FANOUT = 2;

  private final LocalMember self;
  private final MemberTable members;
  private final ProbeRing ring;
  private final GossipQueue queue = new GossipQueue();
  private long nextPushMicros;
  private boolean pushScheduled;

  Dissemination(LocalMember self, MemberTable members, ProbeRing ring) {
    this.self = self;
    this.members = members;
    this.ring = ring;
  }

  /** Queues a record for gossip. */
  void enqueue(MemberRecord record) {
    queue.add(record);
  }

  /** Sends a datagram, and fills it up to the maximum size with gossip. */
  void send(
      Kind kind, String address, long sequence, String pingTarget, List<MemberRecord> records) {
    MembershipMessage withoutGossip = message(kind, sequence, pingTarget, records);
    int capacity = self.settings().maxDatagramBytes() - withoutGossip.maxEncodedBytes();
    List<MemberRecord> withGossip = new ArrayList<>(records);
    withGossip.addAll(queue.take(capacity, maxTransmissions()));
    self.host().sendDatagram(address, message(kind, sequence, pingTarget, withGossip));
  }

  /** Sends a datagram without a ping target. */
  void send(Kind kind, String address, long sequence, List<MemberRecord> records) {
    send(kind, address, sequence, "", records);
  }

  /** Sends a ping whose acknowledgement is not awaited. */
  void sendUnawaitedPing(String address, List<MemberRecord> records) {
    send(Kind.PING, address, self.nextSequence(), records);
  }

  /** Sends a message that may exceed a datagram, without gossip. */
  void sendStream(Kind kind, String address, long sequence, List<MemberRecord> records) {
    self.host().sendStream(address, message(kind, sequence, "", records));
  }

  private MembershipMessage message(
      Kind kind, long sequence, String pingTarget, List<MemberRecord> records) {
    return new MembershipMessage(
        self.cluster(), kind, sequence, pingTarget, self.record(), records);
  }

  private int maxTransmissions() {
    int binaryDigits = Integer.SIZE - Integer.numberOfLeadingZeros(members.presentCount() + 2);
    return (int) Math.ceil(self.settings().retransmitMultiplier() * binaryDigits);
  }

  /**
   * Sends queued gossip to a few random members without waiting for the next probe. Calls within
   * one interval are combined.
   */
  void pushSoon() {
    if (pushScheduled) {
      return;
    }
    pushScheduled = true;
    self.schedule(Math.max(self.now(), nextPushMicros), this::push);
  }

  private void push() {
    pushScheduled = false;
    nextPushMicros = self.now() + PUSH_INTERVAL_MICROS;
    for (int i = 0; i < PUSH_FANOUT && !self.isDisplaced() && !ring.members().isEmpty(); i++) {
      sendUnawaitedPing(ring.random().address(), List.of());
    }
  }
}
