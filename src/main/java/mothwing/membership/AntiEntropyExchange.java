package mothwing.membership;

import java.util.List;
import java.util.Random;
import mothwing.membership.MembershipMessage.Kind;

/**
 * Exchanges all records with a seed until one has responded, with a random member periodically, and
 * with members that return after their removal.
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

  /** Whether a sync request has been answered since the start, or there are no seeds. */
  boolean isJoined() {
    return joined;
  }

  void onResponse() {
    joined = true;
  }

  /**
   * Sends sync requests to random seeds, with backoff, until one has responded and this member is
   * not isolated.
   */
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
   * Exchanges all records with a member that has returned, because it may lead to the other side of
   * a partition that has healed. Only a random few of the members do so, each at most once per
   * {@code randomProbeIntervalMicros}, to limit the load on the returned member.
   */
  void exchangeWithReturned(Member member) {
    if (self.now() >= nextReturnExchangeMicros
        && random.nextInt(Math.max(1, members.presentCount())) < self.settings().ringSuccessors()) {
      nextReturnExchangeMicros = self.now() + self.settings().randomProbeIntervalMicros();
      request(member.address());
    }
  }

  /** Sends a random dead member its record, which it refutes if a partition has healed. */
  void contactDeadMember() {
    List<Member> dead = members.inState(MemberState.DEAD);
    if (!dead.isEmpty()) {
      Member member = dead.get(random.nextInt(dead.size()));
      dissemination.sendUnawaitedPing(member.address(), List.of(member.record()));
    }
  }

  /** Responds to a sync request with all records. */
  void respond(MembershipMessage request) {
    dissemination.sendStream(
        Kind.SYNC_RESPONSE, request.sender().address(), request.sequence(), members.records());
  }

  private void request(String address) {
    dissemination.sendStream(Kind.SYNC_REQUEST, address, self.nextSequence(), members.records());
  }
}
