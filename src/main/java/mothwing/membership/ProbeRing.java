package mothwing.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The order of probes: the present members on a ring by the hash of their names, each of which
 * probes its successors, and a shuffled pass over all for random probes.
 */
final class ProbeRing {
  private static final Comparator<Member> RING_ORDER =
      Comparator.comparingLong((Member member) -> member.ringPosition())
          .thenComparing(Member::name);

  private final MemberTable members;
  private final long ownPosition;
  private final int successorCount;
  private final Random random;
  private List<Member> ring = List.of();
  private List<Member> shuffled = new ArrayList<>();

  ProbeRing(MemberTable members, LocalMember self) {
    this.members = members;
    ownPosition = Member.ringPosition(self.name());
    successorCount = self.settings().ringSuccessors();
    random = self.random();
  }

  /** Discards the order after a member has come or gone. */
  void invalidate() {
    ring = List.of();
  }

  /** All present members in the order of the ring. */
  List<Member> all() {
    if (ring.isEmpty()) {
      List<Member> sorted = members.present();
      sorted.sort(RING_ORDER);
      ring = sorted;
    }
    return ring;
  }

  /** The members that follow this one on the ring. */
  List<Member> successors() {
    List<Member> all = all();
    int first = firstBehindSelf(all);
    List<Member> successors = new ArrayList<>();
    for (int i = 0; i < Math.min(successorCount, all.size()); i++) {
      successors.add(all.get((first + i) % all.size()));
    }
    return successors;
  }

  private int firstBehindSelf(List<Member> all) {
    int low = 0;
    int high = all.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (all.get(middle).ringPosition() <= ownPosition) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** A random present member; there has to be one. */
  Member random() {
    List<Member> all = all();
    return all.get(random.nextInt(all.size()));
  }

  /** The next of a shuffled pass over all present members. */
  Optional<Member> nextShuffled() {
    while (!shuffled.isEmpty()) {
      Member member = shuffled.remove(shuffled.size() - 1);
      if (member.isPresent() && members.find(member.name()) == member) {
        return Optional.of(member);
      }
    }
    shuffled = members.present();
    Collections.shuffle(shuffled, random);
    return shuffled.isEmpty()
        ? Optional.empty()
        : Optional.of(shuffled.remove(shuffled.size() - 1));
  }
}
