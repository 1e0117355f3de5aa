package mothwing.dns.zone;

import java.util.HashSet;
import java.util.Set;
import mothwing.dns.zone.ChangeSet.Change;
import org.xbill.DNS.Type;

/**
 * The record sets to which refused lines of a zone file may belong. A record that is missing from
 * such a set was not necessarily removed by the operator.
 */
public final class UnreadRecords {
  /** Above this number of names and sets, any set may lack a record. */
  private static final int MAX_ENTRIES = ZoneFile.MOST_FAULTS;

  private static final int UNKNOWN_TYPE = -1;

  private record SetName(DomainName owner, int type) {}

  private final Set<DomainName> owners = new HashSet<>();
  private final Set<SetName> sets = new HashSet<>();
  private boolean anyOwner;

  /** Creates an instance for a file without refused lines. */
  UnreadRecords() {}

  /**
   * Returns these records as seen from the former reading of the file: a line without a type, and
   * with a name that the file did not have, may have any name, as the slip may be in the name. A
   * line of a type that its name did not have may have any type of the name.
   *
   * @param before the former reading
   * @return the records for a comparison with it
   */
  UnreadRecords comparedWith(Zone before) {
    UnreadRecords compared = new UnreadRecords();
    compared.owners.addAll(owners);
    compared.sets.addAll(sets);
    sets.stream()
        .filter(set -> before.get(set.owner(), set.type()) == null)
        .forEach(set -> compared.owners.add(set.owner()));
    compared.anyOwner = anyOwner || owners.stream().anyMatch(owner -> before.sets(owner).isEmpty());
    return compared;
  }

  /**
   * Adds a refused line.
   *
   * @param owner the name of its records, or null if it is unknown
   * @param type the type of its records, or a negative number if it is unknown
   */
  void add(DomainName owner, int type) {
    if (owner == null || owners.size() + sets.size() >= MAX_ENTRIES) {
      anyOwner = true;
    } else if (type < 0) {
      owners.add(owner);
    } else {
      sets.add(new SetName(owner, type));
    }
  }

  /**
   * Adds a refused line whose name is outside of the zone. It may stand for any name of the zone
   * with the same first labels, as the slip may be in the others.
   *
   * @param outside the name
   * @param zoneOrigin the origin of the zone
   * @param type the type of its records
   */
  void addOutside(DomainName outside, DomainName zoneOrigin, int type) {
    StringBuilder inside = new StringBuilder();
    for (String label : outside.toString().split("\\.")) {
      inside.append(inside.isEmpty() ? "" : ".").append(label);
      try {
        add(DomainName.parse(inside.toString(), zoneOrigin), type);
      } catch (DomainName.Bad tooLong) {
        return; // the zone has no such name
      }
    }
  }

  /**
   * Adds a refused line of an unknown type.
   *
   * @param owner the text of its name
   * @param origin the origin of a relative name
   */
  void addText(String owner, DomainName origin) {
    try {
      add(DomainName.parse(owner, origin), UNKNOWN_TYPE);
    } catch (DomainName.Bad unreadable) {
      add(null, UNKNOWN_TYPE);
    }
  }

  /**
   * Returns whether a difference between two readings of a file may be due to refused lines. Where
   * the name of a line is unknown, that holds for sets that have become smaller, and for those of
   * which only the TTL differs, since the line may have been a directive.
   *
   * @param change the difference
   * @return true if the operator has not necessarily made it
   */
  boolean mayExplain(Change change) {
    if (change.type() == Type.SOA || change.before() == null) {
      return false;
    }
    return owners.contains(change.owner())
        || sets.contains(new SetName(change.owner(), change.type()))
        || (anyOwner && isSmallerOrSame(change));
  }

  private static boolean isSmallerOrSame(Change change) {
    RRset after = change.after();
    return after == null
        || after.count() < change.before().count()
        || after.sameData(change.before());
  }
}
