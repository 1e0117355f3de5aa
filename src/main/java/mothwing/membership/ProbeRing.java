package mothwing.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The order of probes: a ring of the present members by the hash of their names, on which each
 * member probes its successors, and a shuffled pass over all of them for random probes.
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

  /** Discards the order after a member became present or was removed. */
  void invalidate() {
    ring = List.of();
  }

  /** All present members in the order of the ring. */
  List<Member> members() {
    if (ring.isEmpty()) {
      List<Member> sorted = members.present();
      sorted.sort(RING_ORDER);
      ring = sorted;
    }
    return ring;
  }

  /** The members that follow this one on the ring. */
  List<Member> successors() {
    List<Member> ordered = members();
    int first = firstAfterSelf(ordered);
    List<Member> successors = new ArrayList<>();
    for (int i = 0; i < Math.min(successorCount, ordered.size()); i++) {
      successors.add(ordered.get((first + i) % ordered.size()));
    }
    return successors;
  }

  private int firstAfterSelf(List<Member> ordered) {
    int low = 0;
    int high = ordered.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (ordered.get(middle).ringPosition() <= ownPosition) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** A random present member. There must be at least one. */
  Member random() {
    List<Member> ordered = members();
    return ordered.get(random.nextInt(ordered.size()));
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
