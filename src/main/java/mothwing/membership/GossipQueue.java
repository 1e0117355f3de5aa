package mothwing.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What is still to be told on, the least told first; at most one claim a member. */
final class GossipQueue {
  private final Map<String, Integer> told = new LinkedHashMap<>();
  private final TreeMap<Integer, LinkedHashMap<String, MemberRecord>> byTold = new TreeMap<>();

  /** Takes a claim in place of an older one on the same member. */
  void add(MemberRecord claim) {
    drop(claim.name());
    put(claim, 0);
  }

  private void put(MemberRecord claim, int times) {
    told.put(claim.name(), times);
    byTold.computeIfAbsent(times, none -> new LinkedHashMap<>()).put(claim.name(), claim);
  }

  void drop(String name) {
    Integer times = told.remove(name);
    if (times != null) {
      LinkedHashMap<String, MemberRecord> same = byTold.get(times);
      same.remove(name);
      if (same.isEmpty()) {
        byTold.remove(times);
      }
    }
  }

  /** Takes claims of so many bytes, and drops those that were told often enough with it. */
  List<MemberRecord> take(int bytes, int enough) {
    List<MemberRecord> all = new ArrayList<>();
    int left = bytes;
    for (LinkedHashMap<String, MemberRecord> same : byTold.values()) {
      for (Iterator<MemberRecord> each = same.values().iterator(); each.hasNext() && left > 0; ) {
        MemberRecord one = each.next();
        left -= one.bytes();
        if (left >= 0) {
          all.add(one);
        }
      }
    }
    for (MemberRecord one : all) {
      int times = told.get(one.name()) + 1;
      drop(one.name());
      if (times < enough) {
        put(one, times);
      }
    }
    return all;
  }
}
