package mothwing.dns.zone;

import java.util.ArrayList;
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
 * holds and the name is listed as a conflict. There is one new serial, greater than the one in
 * force, and the file's own where that is greater still.
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
   */
  public record Edits(Zone base, ChangeSet changes) {
    /**
     * Compares two readings. Goes through both, so it is work for a helper thread.
     *
     * @param before the file as it was last read
     * @param read the file as it was read now
     * @return what changed
     */
    public static Edits between(Zone before, Zone read) {
      ChangeSet changes = ChangeSet.between(before, read);
      try {
        return new Edits(changes.apply(before), changes);
      } catch (ChangeSet.Mismatch never) {
        throw new IllegalStateException(never);
      }
    }
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
      RRset wanted = edit.after();
      if (edit.type() == Type.SOA && edit.owner().equals(current.origin())) {
        // its serial is told apart below: the other fields are the operator's
        next = next.with(edit.owner(), Soa.withSerial(wanted, current.serial()));
        continue;
      }
      if (!Objects.equals(now, edit.before()) && !Objects.equals(now, wanted)) {
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
      if (!ZoneFile.beside(edit.type(), other.type())) {
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
