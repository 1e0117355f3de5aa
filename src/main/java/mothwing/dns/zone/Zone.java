package mothwing.dns.zone;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import org.xbill.DNS.Type;

/**
 * One whole version of a zone: an immutable trie by label, from the apex down. A change makes a new
 * version, which shares with the old one all that is not on the way to the name that changed;
 * whoever holds a version can read it for as long as it likes. Names without records stand in it
 * where names with records lie below them (RFC 4592 section 2.2.2).
 */
public final class Zone {
  private static final RRset[] NONE = {};

  /**
   * A name: its label, its sets in the order of their types (one alone, or an array), and what lies
   * below.
   */
  static final class Node implements LabelTrie.Labelled {
    private final byte[] label;
    private final Object sets;
    private final LabelTrie<Node> below;

    Node(byte[] label, Object sets, LabelTrie<Node> below) {
      this.label = label;
      this.sets = sets;
      this.below = below;
    }

    @Override
    public byte[] label() {
      return label;
    }

    LabelTrie<Node> below() {
      return below;
    }

    RRset[] sets() {
      return sets instanceof RRset one ? new RRset[] {one} : (RRset[]) sets;
    }

    RRset get(int type) {
      if (sets instanceof RRset one) {
        return one.type() == type ? one : null;
      }
      for (RRset one : (RRset[]) sets) {
        if (one.type() == type) {
          return one;
        }
      }
      return null;
    }

    boolean empty() {
      return sets == NONE;
    }

    /** This name with a set in place of that of its type; null takes that away. */
    Node with(int type, RRset set) {
      List<RRset> all = new ArrayList<>(Arrays.asList(sets()));
      int at = 0;
      while (at < all.size() && all.get(at).type() < type) {
        at++;
      }
      if (at < all.size() && all.get(at).type() == type) {
        all.remove(at);
      }
      if (set != null) {
        all.add(at, set);
      }
      return new Node(
          label, all.isEmpty() ? NONE : all.size() == 1 ? all.get(0) : all.toArray(NONE), below);
    }

    Node with(LabelTrie<Node> other) {
      return new Node(label, sets, other);
    }
  }

  private final DomainName origin;
  private final Node apex;
  private final int names;
  private final int records;

  private Zone(DomainName origin, Node apex, int names, int records) {
    this.origin = origin;
    this.apex = apex;
    this.names = names;
    this.records = records;
  }

  /**
   * A zone without records.
   *
   * @param origin its origin
   * @return the zone
   */
  public static Zone empty(DomainName origin) {
    return new Zone(origin, new Node(new byte[0], NONE, LabelTrie.empty()), 0, 0);
  }

  /**
   * Its origin.
   *
   * @return the name of its apex
   */
  public DomainName origin() {
    return origin;
  }

  Node apex() {
    return apex;
  }

  /**
   * How many records it has.
   *
   * @return their number
   */
  public int records() {
    return records;
  }

  /**
   * How many names have records.
   *
   * @return their number
   */
  public int names() {
    return names;
  }

  /**
   * The records of a name and type.
   *
   * @param name the name
   * @param type the type's number
   * @return the set, or null where there is none
   */
  public RRset get(DomainName name, int type) {
    Node node = node(name);
    return node == null ? null : node.get(type);
  }

  /**
   * All sets of a name.
   *
   * @param name the name
   * @return its sets in the order of their types, possibly none
   */
  public List<RRset> sets(DomainName name) {
    Node node = node(name);
    return node == null ? List.of() : List.of(node.sets());
  }

  /**
   * The node of a name, whether it has records or not; null where there is none, or it is outside.
   */
  Node node(DomainName name) {
    if (!name.within(origin)) {
      return null;
    }
    byte[] wire = name.wire();
    int[] offsets = name.offsets();
    Node node = apex;
    for (int i = offsets.length - origin.labels() - 1; i >= 0 && node != null; i--) {
      node = node.below.get(wire, offsets[i] + 1, wire[offsets[i]]);
    }
    return node;
  }

  /**
   * A version in which a set takes the place of that of its name and type.
   *
   * @param name the name, within the zone
   * @param set the set
   * @return the new version
   */
  public Zone with(DomainName name, RRset set) {
    return changed(name, set.type(), set);
  }

  /**
   * A version without the set of a name and type.
   *
   * @param name the name
   * @param type the type's number
   * @return the new version
   */
  public Zone without(DomainName name, int type) {
    return get(name, type) == null ? this : changed(name, type, null);
  }

  private Zone changed(DomainName name, int type, RRset set) {
    if (!name.within(origin)) {
      throw new IllegalArgumentException(name + " is outside of zone " + origin);
    }
    Node old = node(name);
    RRset before = old == null ? null : old.get(type);
    int[] offsets = name.offsets();
    Node top = put(apex, name.wire(), offsets, offsets.length - origin.labels() - 1, type, set);
    int had = old == null || old.empty() ? 0 : 1;
    int has = set != null || (had == 1 && old.sets().length > (before == null ? 0 : 1)) ? 1 : 0;
    return new Zone(
        origin,
        top,
        names + has - had,
        records + (set == null ? 0 : set.count()) - (before == null ? 0 : before.count()));
  }

  private static Node put(Node node, byte[] wire, int[] offsets, int i, int type, RRset set) {
    if (i < 0) {
      return node.with(type, set);
    }
    int from = offsets[i] + 1;
    Node child = node.below.get(wire, from, wire[offsets[i]]);
    if (child == null) {
      child =
          new Node(
              Arrays.copyOfRange(wire, from, from + wire[offsets[i]]), NONE, LabelTrie.empty());
    }
    child = put(child, wire, offsets, i - 1, type, set);
    return node.with(
        child.empty() && child.below.size() == 0
            ? node.below.without(child.label)
            : node.below.with(child));
  }

  /**
   * The serial of the SOA record.
   *
   * @return the serial, 0 where there is no such record
   */
  public int serial() {
    RRset soa = apex.get(Type.SOA);
    return soa == null ? 0 : Soa.serial(soa);
  }

  /**
   * A version with another serial.
   *
   * @param serial the serial
   * @return the new version
   */
  public Zone withSerial(int serial) {
    return with(origin, Soa.withSerial(apex.get(Type.SOA), serial));
  }

  /**
   * What keeps it from being served.
   *
   * @return the reason, or null where it has what a zone needs (RFC 1035 section 5.2)
   */
  public String unusable() {
    RRset soa = apex.get(Type.SOA);
    return soa == null
        ? "no SOA record at " + origin
        : soa.count() != 1
            ? "more than one SOA record"
            : apex.get(Type.NS) == null ? "no NS record at " + origin : null;
  }

  /**
   * Goes through all sets, names in the order of RFC 4034 section 6.1.
   *
   * @param action takes each name and set
   */
  public void forEach(BiConsumer<DomainName, RRset> action) {
    walk(apex, origin, action);
  }

  private static void walk(Node node, DomainName name, BiConsumer<DomainName, RRset> action) {
    for (RRset one : node.sets()) {
      action.accept(name, one);
    }
    node.below.forEach(child -> walk(child, name.child(child.label), action));
  }
}
