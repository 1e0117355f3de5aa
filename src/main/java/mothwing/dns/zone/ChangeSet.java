package mothwing.dns.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What changes from one version of a zone to another, set by set, each with what was there before:
 * so a journal can tell that it is applied to the version it was made for, and a secondary can be
 * told what goes and what comes.
 *
 * @param changes the changes in order, at most one for each name and type
 */
public record ChangeSet(List<Change> changes) {
  /**
   * A change of one set.
   *
   * @param owner its name
   * @param type its type
   * @param before what was there, or null
   * @param after what is there now, or null
   */
  public record Change(DomainName owner, int type, RRset before, RRset after) {}

  /** A change that is not for the version at hand. */
  public static final class Mismatch extends Exception {
    private static final long serialVersionUID = 1L;

    Mismatch(String message) {
      super(message);
    }
  }

  /**
   * Whether nothing changes.
   *
   * @return true if so
   */
  public boolean isEmpty() {
    return changes.isEmpty();
  }

  /**
   * Makes the next version.
   *
   * @param zone the version it is for
   * @return the next one
   * @throws Mismatch where the zone does not have what the change found
   */
  public Zone apply(Zone zone) throws Mismatch {
    Zone next = zone;
    for (Change one : changes) {
      if (!Objects.equals(next.get(one.owner, one.type), one.before)) {
        throw new Mismatch(
            "the set of type " + one.type + " at " + one.owner + " is not what it was");
      }
      next =
          one.after == null ? next.without(one.owner, one.type) : next.with(one.owner, one.after);
    }
    return next;
  }

  /**
   * Finds what changes from one version to another of the same zone.
   *
   * @param from the one
   * @param to the other
   * @return the changes, names in order
   */
  public static ChangeSet between(Zone from, Zone to) {
    List<Change> all = new ArrayList<>();
    compare(from.origin(), from.apex(), to.apex(), all);
    return new ChangeSet(all);
  }

  /**
   * Finds what changes at some names; much faster than to look through whole zones.
   *
   * @param from the one version
   * @param to the other
   * @param owners the names at which they may differ, each once
   * @return the changes, in the order of the names given
   */
  static ChangeSet between(Zone from, Zone to, Iterable<DomainName> owners) {
    List<Change> all = new ArrayList<>();
    for (DomainName owner : owners) {
      sets(owner, from.node(owner), to.node(owner), all);
    }
    return new ChangeSet(all);
  }

  private static void compare(DomainName name, Zone.Node from, Zone.Node to, List<Change> all) {
    if (from == to) {
      return; // shared by both versions, with all below
    }
    sets(name, from, to, all);
    List<Zone.Node> oldBelow = children(from);
    List<Zone.Node> newBelow = children(to);
    int i = 0;
    int j = 0;
    while (i < oldBelow.size() || j < newBelow.size()) {
      int order =
          i == oldBelow.size()
              ? 1
              : j == newBelow.size()
                  ? -1
                  : java.util.Arrays.compareUnsigned(
                      oldBelow.get(i).label(), newBelow.get(j).label());
      Zone.Node old = order <= 0 ? oldBelow.get(i++) : null;
      Zone.Node now = order >= 0 ? newBelow.get(j++) : null;
      if (old != now) {
        compare(name.child(old == null ? now.label() : old.label()), old, now, all);
      }
    }
  }

  private static void sets(DomainName name, Zone.Node from, Zone.Node to, List<Change> all) {
    RRset[] olds = from == null ? new RRset[0] : from.sets();
    RRset[] news = to == null ? new RRset[0] : to.sets();
    int i = 0;
    int j = 0;
    while (i < olds.length || j < news.length) {
      RRset old =
          i < olds.length && (j == news.length || olds[i].type() <= news[j].type())
              ? olds[i]
              : null;
      RRset now = j < news.length && (old == null || news[j].type() == old.type()) ? news[j] : null;
      i += old == null ? 0 : 1;
      j += now == null ? 0 : 1;
      if (!Objects.equals(old, now)) {
        all.add(new Change(name, old == null ? now.type() : old.type(), old, now));
      }
    }
  }

  private static List<Zone.Node> children(Zone.Node node) {
    List<Zone.Node> all = new ArrayList<>();
    if (node != null) {
      node.below().forEach(all::add);
    }
    return all;
  }
}
