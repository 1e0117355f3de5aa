package mothwing.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/** All other members that are known, tombstones included, in the order of their names. */
final class MemberTable {
  private final TreeMap<String, Member> members = new TreeMap<>();
  private int presentCount;

  /** The member of that name, or null. */
  Member find(String name) {
    return members.get(name);
  }

  Member add(MemberRecord record) {
    Member member = new Member(record);
    members.put(record.name(), member);
    return member;
  }

  Collection<Member> all() {
    return members.values();
  }

  int size() {
    return members.size();
  }

  int presentCount() {
    return presentCount;
  }

  void countPresence(boolean present) {
    presentCount += present ? 1 : -1;
  }

  /** A new list of the members that are alive or suspected. */
  List<Member> present() {
    List<Member> present = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.isPresent()) {
        present.add(member);
      }
    }
    return present;
  }

  List<Member> inState(MemberState state) {
    return members.values().stream().filter(member -> member.state() == state).toList();
  }

  List<MemberRecord> records() {
    return members.values().stream().map(Member::record).toList();
  }

  void expireTombstones(long nowMicros, long tombstoneMicros) {
    members
        .values()
        .removeIf(
            member ->
                !member.isPresent() && nowMicros - member.removedAtMicros() > tombstoneMicros);
  }
}
