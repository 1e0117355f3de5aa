package mothwing.dns.zone;

import java.util.List;
import java.util.Set;

/**
 * Who may update what: only what is granted is allowed.
 *
 * @param grants all that is granted
 */
public record Rights(List<Grant> grants) {
  /**
   * A right of a key's holder.
   *
   * @param key the key's name
   * @param names a name
   * @param below whether all names below it are meant, without itself; else itself alone
   * @param types the types of records
   */
  public record Grant(DomainName key, DomainName names, boolean below, Set<Integer> types) {
    boolean covers(DomainName owner) {
      return below ? owner.within(names) && !owner.equals(names) : owner.equals(names);
    }
  }

  /**
   * Whether a key's holder may change records.
   *
   * @param key the key's name
   * @param owner whose records
   * @param type their type
   * @return true if so
   */
  public boolean allow(DomainName key, DomainName owner, int type) {
    return grants.stream()
        .anyMatch(one -> one.key().equals(key) && one.types().contains(type) && one.covers(owner));
  }

  /**
   * Whether a key's holder may change anything of a name.
   *
   * @param key the key's name
   * @param owner the name
   * @return true if so
   */
  public boolean allowAny(DomainName key, DomainName owner) {
    return grants.stream().anyMatch(one -> one.key().equals(key) && one.covers(owner));
  }
}
