package mothwing.membership;

import java.util.List;
import java.util.Random;
import mothwing.membership.MembershipMessage.Kind;

/**
 * Full exchanges of all records: with a seed until one has answered, with a random member now and
 * then, and with members that return from the dead.
 */
final class AntiEntropyExchange {
  private static final long INITIAL_BACKOFF_MICROS = 200_000;
  private static final long MAX_BACKOFF_MICROS = 5_000_000;

  private final LocalMember self;
  private final MemberTable members;
  private final Dissemination dissemination;
  private final List<String> seeds;
  private final Random random;
  private boolean joined;
  private long backoffMicros = INITIAL_BACKOFF_MICROS;
  private long nextReturnExchangeMicros;

  AntiEntropyExchange(
      LocalMember self, MemberTable members, Dissemination dissemination, List<String> seeds) {
    this.self = self;
    this.members = members;
    this.dissemination = dissemination;
    this.seeds = seeds;
    random = self.random();
    joined = seeds.isEmpty();
  }

  boolean hasSeeds() {
    return !seeds.isEmpty();
  }

  /** Whether a full exchange has been answered since the start, or none is needed. */
  boolean isJoined() {
    return joined;
  }

  void onResponse() {
    joined = true;
  }

  /** Asks a seed, with backoff, until one has answered and this member is not isolated. */
  void join(IsolationDetector isolation) {
    if (self.isDisplaced() || seeds.isEmpty() || (joined && !isolation.isIsolated())) {
      return;
    }
    request(seeds.get(random.nextInt(seeds.size())));
    backoffMicros = joined ? MAX_BACKOFF_MICROS : Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros);
    long delay = (long) (backoffMicros * random.nextDouble()) + 1;
    self.schedule(self.now() + delay, () -> join(isolation));
  }

  /** Exchanges all records with a random present member. */
  void exchangeWithRandom() {
    List<Member> present = members.present();
    if (!present.isEmpty()) {
      request(present.get(random.nextInt(present.size())).address());
    }
  }

  /**
   * Exchanges all records with a member that has returned, behind which there may be the other side
   * of a partition. Only some of the members do so, and each not often, to spare the returned one.
   */
  void exchangeWithReturned(Member member) {
    if (self.now() >= nextReturnExchangeMicros
        && random.nextInt(Math.max(1, members.presentCount())) < self.settings().ringSuccessors()) {
      nextReturnExchangeMicros = self.now() + self.settings().randomProbeIntervalMicros();
      request(member.address());
    }
  }

  /** Sends a dead member its record: behind a partition that has healed it refutes it. */
  void contactDeadMember() {
    List<Member> dead = members.inState(MemberState.DEAD);
    if (!dead.isEmpty()) {
      Member member = dead.get(random.nextInt(dead.size()));
      dissemination.sendUnawaitedPing(member.address(), List.of(member.record()));
    }
  }

  /** Answers an exchange with all records. */
  void respond(MembershipMessage request) {
    dissemination.stream(
        Kind.SYNC_RESPONSE, request.sender().address(), request.sequence(), members.records());
  }

  private void request(String address) {
    dissemination.stream(Kind.SYNC_REQUEST, address, self.nextSequence(), members.records());
  }
}
