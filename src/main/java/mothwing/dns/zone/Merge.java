package mothwing.dns.zone;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import mothwing.dns.zone.ChangeSet.Change;
import org.xbill.DNS.Type;

/**
 * Brings what an operator changed in a zone file together with what updates changed meanwhile. The
 * rule, set by set: what the operator changed, added or removed since the file was last read holds
 * as the file has it; all else stays as the updates left it. Where both changed the same set, or
 * where they left what cannot stand at one name (a CNAME beside other records), the file's side
 * holds and the name is listed as a conflict. Nothing is removed from a set to which a refused line
 * of the file may belong. There is one new serial, greater than the one in force, and the file's
 * own where that is greater still.
 *
 * @param edits what the operator changed
 * @param next the version that is to be in force
 * @param changes what changes for those who ask, the serial among it
 * @param conflicts the conflicts, a line each
 */
public record Merge(Edits edits, Zone next, ChangeSet changes, List<String> conflicts) {
  /**
   * What an operator changed in a file.
   *
   * @param base the file as it was read now, sharing with the former one what did not change
   * @param changes what changed since it was read before
   * @param additions those of the changes that only add records, as lines were refused that may
   *     belong to the same set
   */
  public record Edits(Zone base, ChangeSet changes, Set<Change> additions) {
    /**
     * Compares two readings. Goes through both, so it is work for a helper thread.
     *
     * @param before the file as it was last read
     * @param read the file as it was read now
     * @return what changed
     */
    public static Edits between(Zone before, ZoneFile.Result read) {
      UnreadRecords unread = read.unread().comparedWith(before);
      List<Change> changes = new ArrayList<>();
      Set<Change> additions = new HashSet<>();
      for (Change change : ChangeSet.between(before, read.zone()).changes()) {
        Change taken = unread.mayExplain(change) ? addition(change) : change;
        if (taken != null && !clashes(taken, before, unread)) {
          changes.add(taken);
        }
        if (taken != change && taken != null) {
          additions.add(taken);
        }
      }
      ChangeSet edits = new ChangeSet(changes);
      try {
        return new Edits(edits.apply(before), edits, additions);
      } catch (ChangeSet.Mismatch never) {
        throw new IllegalStateException(never);
      }
    }

    /** Returns the records that a change adds, or null if there are none. */
    private static Change addition(Change change) {
      RRset all = change.before();
      boolean isSingle = change.type() == Type.CNAME || change.type() == Type.DNAME;
      if (change.after() == null || isSingle) {
        return null;
      }
      RRset joined = join(all, change.after().data());
      return joined.equals(all) ? null : new Change(change.owner(), change.type(), all, joined);
    }

    /**
     * Returns whether a new set cannot stand beside one that is kept because of refused lines. It
     * waits until the file can be read.
     */
    private static boolean clashes(Change change, Zone before, UnreadRecords unread) {
      for (RRset other : before.sets(change.owner())) {
        Change removal = new Change(change.owner(), other.type(), other, null);
        if (change.before() == null
            && !Rr.mayCoexist(change.type(), other.type())
            && unread.mayExplain(removal)) {
          return true;
        }
      }
      return false;
    }
  }

  /** Adds to a set in force, which may be null, the records that a change adds. */
  private static RRset withAdded(RRset now, Change edit) {
    List<byte[]> added =
        edit.after().data().stream().filter(data -> !edit.before().has(data)).toList();
    return now == null ? RRset.of(edit.type(), edit.after().ttl(), added) : join(now, added);
  }

  /** Adds records to a set, as far as it has room. */
  private static RRset join(RRset set, List<byte[]> records) {
    RRset all = set;
    for (byte[] data : records) {
      RRset more = all.has(data) ? null : all.with(data, all.ttl());
      all = more == null ? all : more;
    }
    return all;
  }

  /**
   * Merges; the work is that of the edits alone, whatever the size of the zone.
   *
   * @param edits what the operator changed
   * @param current the version in force
   * @return what comes of it
   */
  public static Merge of(Edits edits, Zone current) {
    Zone next = current;
    List<String> conflicts = new ArrayList<>();
    Set<DomainName> owners = new LinkedHashSet<>();
    owners.add(current.origin());
    int fileSerial = edits.base().serial();
    for (Change edit : edits.changes().changes()) {
      owners.add(edit.owner());
      RRset now = current.get(edit.owner(), edit.type());
      boolean isAddition = edits.additions().contains(edit);
      RRset wanted = isAddition ? withAdded(now, edit) : edit.after();
      if (edit.type() == Type.SOA && edit.owner().equals(current.origin())) {
        // its serial is told apart below: the other fields are the operator's
        next = next.with(edit.owner(), Soa.withSerial(wanted, current.serial()));
        continue;
      }
      if (!isAddition && !Objects.equals(now, edit.before()) && !Objects.equals(now, wanted)) {
        conflicts.add(
            edit.owner()
                + " "
                + Type.string(edit.type())
                + ": changed in the file and by updates; the file's holds");
      }
      next =
          wanted == null
              ? next.without(edit.owner(), edit.type())
              : next.with(edit.owner(), wanted);
    }
    for (Change edit : edits.changes().changes()) {
      next = edit.after() == null ? next : alone(next, edit, conflicts);
    }
    boolean same = ChangeSet.between(current, next, owners).isEmpty();
    if (!same || Serial.greater(fileSerial, current.serial())) {
      next = next.withSerial(Serial.later(Serial.next(current.serial()), fileSerial));
    }
    return new Merge(edits, next, ChangeSet.between(current, next, owners), conflicts);
  }

  /**
   * Takes away what an update set and cannot stand beside what the operator set at the same name.
   */
  private static Zone alone(Zone zone, Change edit, List<String> conflicts) {
    Zone next = zone;
    for (RRset other : zone.sets(edit.owner())) {
      if (!Rr.mayCoexist(edit.type(), other.type())) {
        conflicts.add(
            edit.owner()
                + " "
                + Type.string(other.type())
                + ": set by an update, cannot stand beside "
                + Type.string(edit.type())
                + " of the file, which holds");
        next = next.without(edit.owner(), other.type());
      }
    }
    return next;
  }
}
