package mothwing.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import mothwing.membership.MembershipMessage.Kind;

/**
 * Resolves conflicting records under the name of this process. A false record of this process is
 * refuted with a higher incarnation. Of two live processes with one name, the one with the higher
 * incarnation remains, or with equal ones the one with the higher instance id.
 */
final class NameConflicts {
  private final LocalMember self;
  private final Dissemination dissemination;
  private final LocalHealth health;
  private final BooleanSupplier joined;
  private final Set<Long> challenges = new HashSet<>();
  private final Set<Long> challengedInstances = new HashSet<>();

  NameConflicts(
      LocalMember self, Dissemination dissemination, LocalHealth health, BooleanSupplier joined) {
    this.self = self;
    this.dissemination = dissemination;
    this.health = health;
    this.joined = joined;
  }

  /** Handles a record of this name, which may be outdated, or be reported by another member. */
  void onRecord(MemberRecord record) {
    MemberRecord own = self.record();
    if (record.instanceId() == own.instanceId()) {
      refuteIfFalse(record, own);
    } else if (record.incarnation() < own.incarnation()) {
      dissemination.enqueue(own);
    } else if (!joined.getAsBoolean()
        || !record.state().isPresent()
        || record.address().equals(own.address())) {
      // The record is of an earlier process, whose name this one takes over.
      raiseIncarnation(record.incarnation() + 1);
    } else if (challengedInstances.add(record.instanceId())) {
      challenge(record);
    }
  }

  private void refuteIfFalse(MemberRecord record, MemberRecord own) {
    if (record.state() != MemberState.ALIVE
        && own.state() != MemberState.LEFT
        && record.incarnation() >= own.incarnation()) {
      health.degrade(1);
      raiseIncarnation(record.incarnation() + 1);
    }
  }

  /** Pings the other process: a gossiped record may be of one that has ended. */
  private void challenge(MemberRecord record) {
    long sequence = self.nextSequence();
    challenges.add(sequence);
    dissemination.send(Kind.PING, record.address(), sequence, List.of());
    long timeout = self.settings().ackTimeoutMicros() + self.settings().indirectAckTimeoutMicros();
    self.schedule(self.now() + timeout, () -> onChallengeTimeout(record, sequence));
  }

  private void onChallengeTimeout(MemberRecord record, long sequence) {
    challengedInstances.remove(record.instanceId());
    if (challenges.remove(sequence)
        && !self.isDisplaced()
        && record.incarnation() >= self.record().incarnation()) {
      raiseIncarnation(record.incarnation() + 1);
    }
  }

  /**
   * Handles a message of another process with this name. It may be outdated: only the
   * acknowledgement of a challenge proves that the process is alive.
   */
  void onMessage(MembershipMessage message) {
    MemberRecord other = message.sender();
    if (message.kind() == Kind.PING) {
      dissemination.send(Kind.ACK, other.address(), message.sequence(), List.of());
    }
    if (message.kind() != Kind.ACK || !challenges.remove(message.sequence())) {
      onRecord(other);
    } else if (outranks(other, self.record())) {
      self.displace(other);
    } else {
      raiseIncarnation(Math.max(self.record().incarnation(), other.incarnation()) + 1);
    }
  }

  private static boolean outranks(MemberRecord other, MemberRecord own) {
    return other.incarnation() == own.incarnation()
        ? other.instanceId() > own.instanceId()
        : other.incarnation() > own.incarnation();
  }

  private void raiseIncarnation(long incarnation) {
    self.setRecord(self.record().withIncarnation(incarnation));
    dissemination.enqueue(self.record());
  }
}
