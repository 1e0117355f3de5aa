package mothwing.dns.zone;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * A dynamic update (RFC 2136): prerequisites, then changes, all or nothing. What it does to the
 * apex is guarded: its SOA record and its last NS record stay (section 3.4.2), whoever asks.
 *
 * @param prerequisites what must hold
 * @param changes what is to change, in order
 */
public record Update(List<Line> prerequisites, List<Line> changes) {
  /**
   * A record of an update; its class and the emptiness of its data say what it means (RFC 2136
   * sections 2.4, 2.5).
   *
   * @param owner its name
   * @param type its type, possibly ANY
   * @param dclass IN, ANY or NONE
   * @param ttl seconds
   * @param data its data in wire form, possibly none
   */
  public record Line(DomainName owner, int type, int dclass, long ttl, byte[] data) {}

  /**
   * What came of an update.
   *
   * @param rcode the code of the answer
   * @param reason why, for the log; empty where it was accepted
   * @param next the next version, or the same where nothing changed or the update was refused
   * @param changes what changed, the serial among it
   */
  public record Outcome(int rcode, String reason, Zone next, ChangeSet changes) {}

  /** Ends the evaluation with a code. */
  private static final class Stop extends Exception {
    private static final long serialVersionUID = 1L;
    private final int rcode;

    Stop(int rcode, String reason) {
      super(reason, null, false, false);
      this.rcode = rcode;
    }
  }

  private static final ChangeSet NOTHING = new ChangeSet(List.of());

  /**
   * Evaluates it.
   *
   * @param zone the version in force
   * @param key the name of the key that signed it
   * @param rights who may what
   * @param mostRecords most records that the zone may have
   * @return what comes of it
   */
  public Outcome on(Zone zone, DomainName key, Rights rights, int mostRecords) {
    try {
      prerequisites(zone);
      prescan(zone, key, rights);
      Zone next = zone;
      for (Line one : changes) {
        next = changed(next, one);
      }
      if (next == zone) {
        return new Outcome(Rcode.NOERROR, "", zone, NOTHING);
      }
      if (next.records() > mostRecords) {
        throw new Stop(Rcode.REFUSED, "the zone would have more than " + mostRecords + " records");
      }
      ChangeSet content = touched(zone, next);
      if (content.isEmpty()) {
        return new Outcome(Rcode.NOERROR, "", zone, NOTHING);
      }
      Zone moved =
          zone.serial() == next.serial() ? next.withSerial(Serial.next(zone.serial())) : next;
      return new Outcome(Rcode.NOERROR, "", moved, touched(zone, moved));
    } catch (Stop stop) {
      return new Outcome(stop.rcode, stop.getMessage(), zone, NOTHING);
    }
  }

  /** What changed, found at the names that were touched alone. */
  private ChangeSet touched(Zone from, Zone to) {
    Set<DomainName> owners = new LinkedHashSet<>();
    owners.add(from.origin());
    changes.forEach(one -> owners.add(one.owner));
    return ChangeSet.between(from, to, owners);
  }

  private static void zoned(Zone zone, Line one) throws Stop {
    if (!one.owner.within(zone.origin())) {
      throw new Stop(Rcode.NOTZONE, one.owner + " is outside of zone " + zone.origin());
    }
  }

  private static void well(boolean formed, Line one, String what) throws Stop {
    if (!formed) {
      throw new Stop(Rcode.FORMERR, what + " for " + one.owner + " is malformed");
    }
  }

  /** RFC 2136 section 3.2. */
  private void prerequisites(Zone zone) throws Stop {
    Map<DomainName, Map<Integer, List<byte[]>>> wanted = new LinkedHashMap<>();
    for (Line one : prerequisites) {
      zoned(zone, one);
      well(one.ttl == 0, one, "prerequisite with a TTL");
      boolean inUse = !zone.sets(one.owner).isEmpty();
      boolean there = zone.get(one.owner, one.type) != null;
      if (one.dclass == DClass.IN) {
        well(Rr.storable(one.type), one, "prerequisite of type " + Type.string(one.type));
        wanted
            .computeIfAbsent(one.owner, owner -> new LinkedHashMap<>())
            .computeIfAbsent(one.type, type -> new ArrayList<>())
            .add(one.data);
        continue;
      }
      well(
          (one.dclass == DClass.ANY || one.dclass == DClass.NONE) && one.data.length == 0,
          one,
          "prerequisite of class " + DClass.string(one.dclass));
      boolean any = one.type == Type.ANY;
      if (one.dclass == DClass.ANY && !(any ? inUse : there)) {
        throw new Stop(any ? Rcode.NXDOMAIN : Rcode.NXRRSET, one.owner + " has no such records");
      } else if (one.dclass == DClass.NONE && (any ? inUse : there)) {
        throw new Stop(any ? Rcode.YXDOMAIN : Rcode.YXRRSET, one.owner + " has such records");
      }
    }
    for (Map.Entry<DomainName, Map<Integer, List<byte[]>>> name : wanted.entrySet()) {
      for (Map.Entry<Integer, List<byte[]>> set : name.getValue().entrySet()) {
        if (!RRset.of(set.getKey(), 0, set.getValue())
            .sameData(zone.get(name.getKey(), set.getKey()))) {
          throw new Stop(
              Rcode.NXRRSET,
              name.getKey() + " has other " + Type.string(set.getKey()) + " records");
        }
      }
    }
  }

  /** RFC 2136 section 3.4.1, and the rights (section 3.3). */
  private void prescan(Zone zone, DomainName key, Rights rights) throws Stop {
    for (Line one : changes) {
      zoned(zone, one);
      if (one.dclass == DClass.IN) {
        well(
            Rr.storable(one.type) && one.ttl >= 0 && one.ttl <= Integer.MAX_VALUE, one, "addition");
      } else if (one.dclass == DClass.ANY) {
        well(
            one.ttl == 0 && one.data.length == 0 && (one.type == Type.ANY || Rr.storable(one.type)),
            one,
            "deletion of a set");
      } else {
        well(
            one.dclass == DClass.NONE && one.ttl == 0 && Rr.storable(one.type),
            one,
            "deletion of a record");
      }
    }
    for (Line one : changes) {
      boolean allowed =
          one.type == Type.ANY
              ? rights.allowAny(key, one.owner)
              : rights.allow(key, one.owner, one.type);
      if (one.type == Type.ANY) {
        for (RRset set : zone.sets(one.owner)) {
          allowed &=
              guarded(zone, one.owner, set.type()) || rights.allow(key, one.owner, set.type());
        }
      }
      if (!allowed) {
        throw new Stop(
            Rcode.REFUSED,
            "key " + key + " has no right to " + Type.string(one.type) + " of " + one.owner);
      }
    }
  }

  private static boolean guarded(Zone zone, DomainName owner, int type) {
    return owner.equals(zone.origin()) && (type == Type.SOA || type == Type.NS);
  }

  /** RFC 2136 section 3.4.2. */
  private static Zone changed(Zone zone, Line one) throws Stop {
    DomainName owner = one.owner;
    RRset set = zone.get(owner, one.type);
    if (one.dclass == DClass.IN) {
      return added(zone, one, set);
    } else if (one.dclass == DClass.ANY && one.type == Type.ANY) {
      Zone next = zone;
      for (RRset each : zone.sets(owner)) {
        next = guarded(zone, owner, each.type()) ? next : next.without(owner, each.type());
      }
      return next;
    } else if (one.dclass == DClass.ANY) {
      return guarded(zone, owner, one.type) ? zone : zone.without(owner, one.type);
    } else if (set == null
        || one.type == Type.SOA
        || !set.has(one.data)
        || (guarded(zone, owner, one.type) && set.count() == 1)) {
      return zone;
    }
    RRset less = set.without(one.data);
    return less == null ? zone.without(owner, one.type) : zone.with(owner, less);
  }

  private static Zone added(Zone zone, Line one, RRset set) throws Stop {
    for (RRset other : zone.sets(one.owner)) {
      if (!Rr.mayCoexist(one.type, other.type())) {
        return zone; // section 3.4.2.2: silently ignored
      }
    }
    if (one.type == Type.SOA) {
      RRset soa = RRset.of(one.type, (int) one.ttl, List.of(one.data));
      return set == null || !Serial.greater(Soa.serial(soa), zone.serial())
          ? zone
          : zone.with(one.owner, soa);
    }
    boolean single = one.type == Type.CNAME || one.type == Type.DNAME;
    RRset more =
        set == null || single
            ? RRset.of(one.type, (int) one.ttl, List.of(one.data))
            : set.with(one.data, (int) one.ttl);
    if (more == null) {
      throw new Stop(
          Rcode.REFUSED,
          "more than "
              + RRset.MOST_BYTES
              + " bytes of "
              + Type.string(one.type)
              + " at "
              + one.owner);
    }
    return more.equals(set) ? zone : zone.with(one.owner, more);
  }
}
