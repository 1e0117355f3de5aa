package mothwing.override;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The overrides that one server knows, and how old they are by its own clock. Pure: the clock goes
 * in with each call, in microseconds that only grow. Ages are upper bounds of the true ones, so
 * that nothing acts past its end; what is merged from others may come in any order, any number of
 * times.
 */
public final class OverrideTable {
  private static final class Entry {
    final String id;
    Version stamp;
    OverrideStatus standing;
    TrafficOverride value;
    long age; // at the mark
    long mark;
    long forgottenAt;
    long keptUntil; // where it is unsure: it acts no longer than its life after a start

    Entry(String id) {
      this.id = id;
    }

    boolean live() {
      return standing == OverrideStatus.UNSURE || standing == OverrideStatus.IN_FORCE;
    }
  }

  /** How a change was taken. */
  public enum UpdateResult {
    /** It changed what is known. */
    NEW,
    /** It was known, or is overtaken by what is known. */
    KNOWN,
    /** A bound is full: it was not taken. */
    FULL
  }

  private final OverrideLimits limits;
  private final Map<String, Entry> entries = new TreeMap<>();
  private long version;

  /**
   * Makes an empty one.
   *
   * @param limits its bounds
   */
  public OverrideTable(OverrideLimits limits) {
    this.limits = limits;
  }

  /** Time that has passed here, as long as it may have been in truth. */
  private long stretched(long span) {
    return (long) Math.ceil(span * (1 + limits.drift()));
  }

  private long age(Entry entry, long now) {
    return entry.age + stretched(now - entry.mark);
  }

  /**
   * Takes an override that is made here and now.
   *
   * @param now the clock
   * @param value it
   * @return {@code KNOWN} where its id is in use or remembered
   */
  public UpdateResult make(long now, TrafficOverride value) {
    pass(now);
    if (entries.containsKey(value.id())) {
      return UpdateResult.KNOWN;
    }
    return join(
        now,
        new ReplicaState(value.id(), value.stamp(), OverrideStatus.IN_FORCE, 0, value),
        now,
        0);
  }

  /**
   * Takes an override back, known or not.
   *
   * @param now the clock
   * @param id its id
   * @return how it was taken
   */
  public UpdateResult revoke(long now, String id) {
    pass(now);
    Entry known = entries.get(id);
    return join(
        now,
        new ReplicaState(id, known == null ? null : known.stamp, OverrideStatus.REVOKED, 0, null),
        now,
        0);
  }

  /**
   * Merges what another holder answered.
   *
   * @param now the clock
   * @param told what it said
   * @param askedAt when the question left, by this clock
   * @param upFor microseconds since this server is back from a start, or {@link Long#MAX_VALUE}
   *     once it has recovered: it takes what is unsure only while it has not run for as long as
   *     that may last
   * @return how it was taken
   */
  public UpdateResult merge(long now, ReplicaState told, long askedAt, long upFor) {
    pass(now);
    if (told.standing() == OverrideStatus.UNSURE
        && (told.value() == null || upFor >= told.value().life())) {
      return UpdateResult.KNOWN; // it ran through what the other one slept through
    }
    return join(now, told, askedAt, upFor);
  }

  /**
   * Takes what this server's own disk has: claims of unknown age.
   *
   * @param now the clock
   * @param saved what was saved
   */
  public void load(long now, Collection<ReplicaState> saved) {
    for (ReplicaState one : saved) {
      boolean live = one.value() != null;
      join(
          now,
          live
              ? new ReplicaState(
                  one.id(), one.stamp(), OverrideStatus.UNSURE, one.age(), one.value())
              : one,
          now,
          0);
    }
  }

  private UpdateResult join(long now, ReplicaState told, long askedAt, long upFor) {
    boolean live =
        told.standing() == OverrideStatus.IN_FORCE || told.standing() == OverrideStatus.UNSURE;
    if ((live && told.value() == null)
        || (told.stamp() == null && told.standing() != OverrideStatus.REVOKED)) {
      return UpdateResult.KNOWN; // it says too little to be taken
    }
    long age = told.age() + stretched(now - askedAt);
    OverrideStatus standing =
        live && age >= told.value().life() ? OverrideStatus.ENDED : told.standing();
    Entry known = entries.get(told.id());
    if (known != null && !over(told.stamp(), standing, known)) {
      if (live && known.live() && known.standing == standing && told.stamp().equals(known.stamp)) {
        known.age =
            standing == OverrideStatus.IN_FORCE
                ? Math.min(age, age(known, now)) // upper bounds of one age
                : Math.max(
                    age,
                    age(known, now)); // off disks it is older than that, nobody knows by how much
        known.mark = now;
      }
      return UpdateResult.KNOWN;
    }
    boolean grows = standing == OverrideStatus.IN_FORCE || standing == OverrideStatus.UNSURE;
    if (full(known, grows ? told.value() : null)) {
      return UpdateResult.FULL;
    }
    Entry entry = known == null ? new Entry(told.id()) : known;
    long life =
        told.value() != null
            ? told.value().life()
            : entry.value != null ? entry.value.life() : limits.seconds() * 1_000_000L;
    entries.put(entry.id, entry);
    entry.stamp = told.stamp() != null ? told.stamp() : entry.stamp;
    entry.standing = standing;
    entry.value = grows ? told.value() : null;
    entry.age = age;
    entry.mark = now;
    entry.keptUntil = standing == OverrideStatus.UNSURE ? now + life - Math.max(age, upFor) : 0;
    entry.forgottenAt = grows ? Long.MAX_VALUE : now + life + 2 * (stretched(life) - life);
    version++;
    return UpdateResult.NEW;
  }

  /**
   * Whether something told is above what is known: revoked over all, sure over unsure, the higher
   * stamp, ended.
   */
  private static boolean over(Version stamp, OverrideStatus standing, Entry known) {
    if (known.standing == OverrideStatus.REVOKED || standing == OverrideStatus.REVOKED) {
      return known.standing != OverrideStatus.REVOKED;
    }
    if (standing == OverrideStatus.UNSURE != (known.standing == OverrideStatus.UNSURE)) {
      return known.standing == OverrideStatus.UNSURE;
    }
    int order = stamp.compareTo(known.stamp);
    return order > 0 || (order == 0 && standing.compareTo(known.standing) > 0);
  }

  private boolean full(Entry known, TrafficOverride value) {
    if (known == null && entries.size() >= limits.live() + limits.remembered()) {
      return true;
    } else if (value == null) {
      return false; // what is known may always be taken back
    }
    int text = value.text();
    int live = 1;
    for (Entry one : entries.values()) {
      if (one.live() && one != known) {
        text += one.value.text();
        live++;
      }
    }
    return live > limits.live() || text > limits.text();
  }

  /**
   * Ends what is over, and forgets what has been over for long enough.
   *
   * @param now the clock
   */
  public void pass(long now) {
    for (Entry one : List.copyOf(entries.values())) {
      if (one.live() && age(one, now) >= one.value.life()) {
        one.forgottenAt =
            now + one.value.life() + 2 * (stretched(one.value.life()) - one.value.life());
        one.standing = OverrideStatus.ENDED;
        one.value = null;
        version++;
      } else if (!one.live() && now >= one.forgottenAt) {
        entries.remove(one.id);
      }
    }
  }

  /**
   * How an override stands now.
   *
   * @param now the clock
   * @param id its id
   * @return its standing, or null where it is not known
   */
  public OverrideStatus standing(long now, String id) {
    pass(now);
    Entry one = entries.get(id);
    return one == null ? null : one.standing;
  }

  /**
   * What acts now: what is in force, and what is unsure and says that it is to be kept.
   *
   * @param now the clock
   * @return the overrides, the one that wins first
   */
  public List<TrafficOverride> acting(long now) {
    pass(now);
    List<TrafficOverride> all = new ArrayList<>();
    for (Entry one : entries.values()) {
      if (one.standing == OverrideStatus.IN_FORCE
          || (one.standing == OverrideStatus.UNSURE
              && one.value.keepUnsure()
              && now < one.keptUntil)) {
        all.add(one.value);
      }
    }
    all.sort(TrafficOverride.RANK);
    return all;
  }

  /**
   * Until when {@link #acting} stays as it is, if nothing comes.
   *
   * @param now the clock
   * @return a time of this clock, or {@link Long#MAX_VALUE}
   */
  public long actingUntil(long now) {
    return entries.values().stream()
        .filter(Entry::live)
        .mapToLong(
            one ->
                one.standing == OverrideStatus.UNSURE && now < one.keptUntil
                    ? one.keptUntil
                    : one.mark + (long) ((one.value.life() - one.age) / (1 + limits.drift())))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * All that is known, as it is told to others and to the disk.
   *
   * @param now the clock
   * @return in the order of ids
   */
  public List<ReplicaState> told(long now) {
    pass(now);
    return entries.values().stream()
        .map(
            one ->
                new ReplicaState(
                    one.id, one.stamp, one.standing, one.live() ? age(one, now) : 0, one.value))
        .toList();
  }

  /**
   * What is known of one id.
   *
   * @param now the clock
   * @param id it
   * @return what is told of it, or null
   */
  public ReplicaState told(long now, String id) {
    pass(now);
    Entry one = entries.get(id);
    return one == null
        ? null
        : new ReplicaState(
            one.id, one.stamp, one.standing, one.live() ? age(one, now) : 0, one.value);
  }

  /**
   * Whether what another holder says it has is above what is known here, so that it is to be asked
   * for.
   *
   * @param id its id
   * @param stamp its stamp, or null
   * @param standing how it stands there
   * @return true if so
   */
  public boolean wants(String id, Version stamp, OverrideStatus standing) {
    Entry known = entries.get(id);
    return known == null || over(stamp, standing, known);
  }

  /**
   * A number that grows with each change of what is known.
   *
   * @return it
   */
  public long version() {
    return version;
  }
}
