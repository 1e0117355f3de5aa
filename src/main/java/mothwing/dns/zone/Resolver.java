package mothwing.dns.zone;

import java.util.HashSet;
import java.util.Set;
import mothwing.dns.zone.Answer.Part;
import mothwing.dns.zone.Zone.Node;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * Finds what a zone says to a question: the algorithm of RFC 1034 section 4.3.2, with wildcards
 * after RFC 4592, DNAME after RFC 6672, negative answers after RFC 2308, and a single set for
 * questions of type ANY after RFC 8482.
 */
public final class Resolver {
  private static final int MOST_ALIASES =
      8; // in one answer; a longer chain is cut there, a loop where it closes
  private static final byte[] WILDCARD = {'*'};

  private final Zone zone;
  private final int type;
  private final Answer answer = new Answer();
  private Set<DomainName> seen;

  private Resolver(Zone zone, int type) {
    this.zone = zone;
    this.type = type;
  }

  /**
   * Answers a question.
   *
   * @param zone the version to be asked
   * @param name the name asked for, within the zone
   * @param type the type asked for
   * @return the answer
   */
  public static Answer ask(Zone zone, DomainName name, int type) {
    Resolver resolver = new Resolver(zone, type);
    resolver.find(name, null, 0);
    return resolver.answer;
  }

  /** Looks for a name; {@code owner} is null for the one that was asked for. */
  private void find(DomainName name, DomainName owner, int aliases) {
    byte[] wire = name.wire();
    int[] offsets = name.offsets();
    Node node = zone.apex();
    int i = offsets.length - zone.origin().labels() - 1;
    while (true) {
      boolean last = i < 0;
      boolean isApex = node == zone.apex();
      RRset cut = isApex || (last && type == Type.DS) ? null : node.get(Type.NS);
      if (cut != null) {
        refer(cutName(name, i + 1), cut);
        return;
      }
      if (last) {
        give(node, name, owner, aliases);
        return;
      }
      RRset dname = node.get(Type.DNAME);
      if (dname != null) {
        rename(name, cutName(name, i + 1), owner, dname, aliases);
        return;
      }
      Node child = node.below().get(wire, offsets[i] + 1, wire[offsets[i]]);
      if (child == null) {
        Node wild = node.below().get(WILDCARD);
        if (wild == null) {
          answer.rcode(Rcode.NXDOMAIN);
          nothing();
        } else {
          give(wild, name, owner, aliases);
        }
        return;
      }
      node = child;
      i--;
    }
  }

  /** The name without its first labels. */
  private static DomainName cutName(DomainName name, int labels) {
    DomainName shorter = name;
    for (int i = 0; i < labels; i++) {
      shorter = shorter.parent();
    }
    return shorter;
  }

  private void give(Node node, DomainName name, DomainName owner, int aliases) {
    RRset alias = node.get(Type.CNAME);
    if (alias != null && type != Type.CNAME && type != Type.ANY) {
      answer.answer().add(new Part(owner, alias, alias.ttl()));
      follow(Rr.target(Type.CNAME, alias.packed(), 2), name, aliases);
      return;
    }
    RRset found = node.get(type);
    if (type == Type.ANY && !node.empty()) {
      found = node.sets()[0];
    }
    if (found == null) {
      nothing();
      return;
    }
    answer.answer().add(new Part(owner, found, found.ttl()));
    addresses(found);
  }

  private void follow(DomainName target, DomainName from, int aliases) {
    if (seen == null) {
      seen = new HashSet<>();
    }
    seen.add(from);
    if (target != null
        && target.within(zone.origin())
        && aliases < MOST_ALIASES
        && !seen.contains(target)) {
      find(target, target, aliases + 1);
    }
  }

  /** A name below a DNAME: the record itself, and the alias made of it (RFC 6672 section 3.1). */
  private void rename(
      DomainName name, DomainName from, DomainName owner, RRset dname, int aliases) {
    answer.answer().add(new Part(from, dname, dname.ttl()));
    DomainName target = name.moved(from, Rr.target(Type.DNAME, dname.packed(), 2));
    if (target == null) {
      answer.rcode(Rcode.YXDOMAIN);
      return;
    }
    RRset alias = RRset.of(Type.CNAME, dname.ttl(), java.util.List.of(target.wire()));
    answer.answer().add(new Part(owner, alias, alias.ttl()));
    if (type != Type.CNAME && type != Type.ANY) {
      follow(target, name, aliases);
    }
  }

  /** There is no such record: the SOA record says for how long that may be believed. */
  private void nothing() {
    RRset soa = zone.apex().get(Type.SOA);
    if (soa != null) {
      answer.authority().add(new Part(zone.origin(), soa, Soa.negativeTtl(soa)));
    }
  }

  private void refer(DomainName owner, RRset cut) {
    answer.referral();
    answer.authority().add(new Part(owner, cut, cut.ttl()));
    addresses(cut);
  }

  /**
   * Adds the addresses of what a set points to, also where they lie below a cut (glue, RFC 1034
   * section 4.2.1).
   */
  private void addresses(RRset set) {
    if (set.type() != Type.NS && set.type() != Type.MX && set.type() != Type.SRV) {
      return;
    }
    byte[] packed = set.packed();
    for (int at = 0; at < packed.length; at = set.next(at)) {
      DomainName target = Rr.target(set.type(), packed, at + 2);
      Node node = target == null ? null : zone.node(target);
      if (node != null) {
        add(target, node.get(Type.A));
        add(target, node.get(Type.AAAA));
      }
    }
  }

  private void add(DomainName owner, RRset set) {
    if (set != null && answer.additional().stream().noneMatch(one -> one.set() == set)) {
      answer.additional().add(new Part(owner, set, set.ttl()));
    }
  }
}
