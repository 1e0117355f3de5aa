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
    Version version;
    OverrideStatus status;
    TrafficOverride value;
    long age; // at the mark
    long mark;
    long forgottenAt;
    long keptUntil; // where it is unsure: it acts no longer than its life after a start

    Entry(String id) {
      this.id = id;
    }

    boolean live() {
      return status == OverrideStatus.UNCONFIRMED || status == OverrideStatus.ACTIVE;
    }
  }

  /** How a change was taken. */
  public enum UpdateResult {
    /** It changed what is known. */
    APPLIED,
    /** It was known, or is overtaken by what is known. */
    IGNORED,
    /** A bound is full: it was not taken. */
    FULL
  }

  private final OverrideLimits limits;
  private final Map<String, Entry> entries = new TreeMap<>();
  private long revision;

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
    return (long) Math.ceil(span * (1 + limits.maxClockDriftRatio()));
  }

  private long age(Entry entry, long now) {
    return entry.age + stretched(now - entry.mark);
  }

  /**
   * Takes an override that is made here and now.
   *
   * @param now the clock
   * @param value it
   * @return {@code IGNORED} where its id is in use or remembered
   */
  public UpdateResult create(long now, TrafficOverride value) {
    expire(now);
    if (entries.containsKey(value.id())) {
      return UpdateResult.IGNORED;
    }
    return join(
        now,
        new ReplicaState(value.id(), value.version(), OverrideStatus.ACTIVE, 0, value),
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
    expire(now);
    Entry known = entries.get(id);
    return join(
        now,
        new ReplicaState(id, known == null ? null : known.version, OverrideStatus.REVOKED, 0, null),
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
    expire(now);
    if (told.status() == OverrideStatus.UNCONFIRMED
        && (told.value() == null || upFor >= told.value().ttlMicros())) {
      return UpdateResult.IGNORED; // it ran through what the other one slept through
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
                  one.id(), one.version(), OverrideStatus.UNCONFIRMED, one.age(), one.value())
              : one,
          now,
          0);
    }
  }

  private UpdateResult join(long now, ReplicaState told, long askedAt, long upFor) {
    boolean live =
        told.status() == OverrideStatus.ACTIVE || told.status() == OverrideStatus.UNCONFIRMED;
    if ((live && told.value() == null)
        || (told.version() == null && told.status() != OverrideStatus.REVOKED)) {
      return UpdateResult.IGNORED; // it says too little to be taken
    }
    long age = told.age() + stretched(now - askedAt);
    OverrideStatus status =
        live && age >= told.value().ttlMicros() ? OverrideStatus.EXPIRED : told.status();
    Entry known = entries.get(told.id());
    if (known != null && !over(told.version(), status, known)) {
      if (live && known.live() && known.status == status && told.version().equals(known.version)) {
        known.age =
            status == OverrideStatus.ACTIVE
                ? Math.min(age, age(known, now)) // upper bounds of one age
                : Math.max(
                    age,
                    age(known, now)); // off disks it is older than that, nobody knows by how much
        known.mark = now;
      }
      return UpdateResult.IGNORED;
    }
    boolean grows = status == OverrideStatus.ACTIVE || status == OverrideStatus.UNCONFIRMED;
    if (full(known, grows ? told.value() : null)) {
      return UpdateResult.FULL;
    }
    Entry entry = known == null ? new Entry(told.id()) : known;
    long life =
        told.value() != null
            ? told.value().ttlMicros()
            : entry.value != null ? entry.value.ttlMicros() : limits.maxTtlSeconds() * 1_000_000L;
    entries.put(entry.id, entry);
    entry.version = told.version() != null ? told.version() : entry.version;
    entry.status = status;
    entry.value = grows ? told.value() : null;
    entry.age = age;
    entry.mark = now;
    entry.keptUntil = status == OverrideStatus.UNCONFIRMED ? now + life - Math.max(age, upFor) : 0;
    entry.forgottenAt = grows ? Long.MAX_VALUE : now + life + 2 * (stretched(life) - life);
    revision++;
    return UpdateResult.APPLIED;
  }

  /**
   * Whether something told is above what is known: revoked over all, sure over unsure, the higher
   * version, ended.
   */
  private static boolean over(Version version, OverrideStatus status, Entry known) {
    if (known.status == OverrideStatus.REVOKED || status == OverrideStatus.REVOKED) {
      return known.status != OverrideStatus.REVOKED;
    }
    if (status == OverrideStatus.UNCONFIRMED != (known.status == OverrideStatus.UNCONFIRMED)) {
      return known.status == OverrideStatus.UNCONFIRMED;
    }
    int order = version.compareTo(known.version);
    return order > 0 || (order == 0 && status.compareTo(known.status) > 0);
  }

  private boolean full(Entry known, TrafficOverride value) {
    if (known == null && entries.size() >= limits.maxLive() + limits.maxTombstones()) {
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
    return live > limits.maxLive() || text > limits.maxTextChars();
  }

  /**
   * Ends what is over, and forgets what has been over for long enough.
   *
   * @param now the clock
   */
  public void expire(long now) {
    for (Entry one : List.copyOf(entries.values())) {
      if (one.live() && age(one, now) >= one.value.ttlMicros()) {
        one.forgottenAt =
            now
                + one.value.ttlMicros()
                + 2 * (stretched(one.value.ttlMicros()) - one.value.ttlMicros());
        one.status = OverrideStatus.EXPIRED;
        one.value = null;
        revision++;
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
   * @return its status, or null where it is not known
   */
  public OverrideStatus status(long now, String id) {
    expire(now);
    Entry one = entries.get(id);
    return one == null ? null : one.status;
  }

  /**
   * What acts now: what is in force, and what is unsure and says that it is to be kept.
   *
   * @param now the clock
   * @return the overrides, the one that wins first
   */
  public List<TrafficOverride> inEffect(long now) {
    expire(now);
    List<TrafficOverride> all = new ArrayList<>();
    for (Entry one : entries.values()) {
      if (one.status == OverrideStatus.ACTIVE
          || (one.status == OverrideStatus.UNCONFIRMED
              && one.value.keepUnconfirmed()
              && now < one.keptUntil)) {
        all.add(one.value);
      }
    }
    all.sort(TrafficOverride.PRECEDENCE);
    return all;
  }

  /**
   * Until when {@link #inEffect} stays as it is, if nothing comes.
   *
   * @param now the clock
   * @return a time of this clock, or {@link Long#MAX_VALUE}
   */
  public long inEffectUntil(long now) {
    return entries.values().stream()
        .filter(Entry::live)
        .mapToLong(
            one ->
                one.status == OverrideStatus.UNCONFIRMED && now < one.keptUntil
                    ? one.keptUntil
                    : one.mark
                        + (long)
                            ((one.value.ttlMicros() - one.age) / (1 + limits.maxClockDriftRatio())))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * All that is known, as it is told to others and to the disk.
   *
   * @param now the clock
   * @return in the order of ids
   */
  public List<ReplicaState> replicaStates(long now) {
    expire(now);
    return entries.values().stream()
        .map(
            one ->
                new ReplicaState(
                    one.id, one.version, one.status, one.live() ? age(one, now) : 0, one.value))
        .toList();
  }

  /**
   * What is known of one id.
   *
   * @param now the clock
   * @param id it
   * @return what is told of it, or null
   */
  public ReplicaState replicaState(long now, String id) {
    expire(now);
    Entry one = entries.get(id);
    return one == null
        ? null
        : new ReplicaState(
            one.id, one.version, one.status, one.live() ? age(one, now) : 0, one.value);
  }

  /**
   * Whether what another holder says it has is above what is known here, so that it is to be asked
   * for.
   *
   * @param id its id
   * @param version its version, or null
   * @param status how it stands there
   * @return true if so
   */
  public boolean isNewer(String id, Version version, OverrideStatus status) {
    Entry known = entries.get(id);
    return known == null || over(version, status, known);
  }

  /**
   * A number that grows with each change of what is known.
   *
   * @return it
   */
  public long revision() {
    return revision;
  }
}
