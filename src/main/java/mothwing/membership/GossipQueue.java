package mothwing.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records to be gossiped, the least transmitted first; at most one for each member. */
final class GossipQueue {
  private final Map<String, Integer> transmissions = new LinkedHashMap<>();
  private final TreeMap<Integer, LinkedHashMap<String, MemberRecord>> byTransmissions =
      new TreeMap<>();

  /** Adds a record, in place of an older one of the same member. */
  void add(MemberRecord record) {
    remove(record.name());
    put(record, 0);
  }

  private void put(MemberRecord record, int count) {
    transmissions.put(record.name(), count);
    byTransmissions
        .computeIfAbsent(count, unused -> new LinkedHashMap<>())
        .put(record.name(), record);
  }

  private void remove(String name) {
    Integer count = transmissions.remove(name);
    if (count != null) {
      Map<String, MemberRecord> sameCount = byTransmissions.get(count);
      sameCount.remove(name);
      if (sameCount.isEmpty()) {
        byTransmissions.remove(count);
      }
    }
  }

  /**
   * Takes the records for one message, and counts their transmission.
   *
   * @param capacityBytes the maximum of their total encoded size
   * @param maxTransmissions the number of transmissions after which a record is dropped
   */
  List<MemberRecord> take(int capacityBytes, int maxTransmissions) {
    List<MemberRecord> taken = select(capacityBytes);
    for (MemberRecord record : taken) {
      int count = transmissions.get(record.name()) + 1;
      remove(record.name());
      if (count < maxTransmissions) {
        put(record, count);
      }
    }
    return taken;
  }

  private List<MemberRecord> select(int capacityBytes) {
    List<MemberRecord> selected = new ArrayList<>();
    int remaining = capacityBytes;
    for (Map<String, MemberRecord> sameCount : byTransmissions.values()) {
      Iterator<MemberRecord> records = sameCount.values().iterator();
      while (records.hasNext() && remaining > 0) {
        MemberRecord record = records.next();
        remaining -= record.maxEncodedBytes();
        if (remaining >= 0) {
          selected.add(record);
        }
      }
    }
    return selected;
  }
}
