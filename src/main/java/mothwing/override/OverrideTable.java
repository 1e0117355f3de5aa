package mothwing.override;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The overrides that one server knows, and their ages by its own clock. Does no I/O: each call is
 * passed the monotonic clock in microseconds. The age of an active override is an upper bound of
 * the true one, so that none stays in effect past its end. States of other replicas may be merged
 * in any order and any number of times.
 */
public final class OverrideTable {
  private static final class Entry {
    final String id;
    Version version;
    OverrideStatus status;
    TrafficOverride value;
    // The age at measuredAtMicros.
    long ageMicros;
    long measuredAtMicros;
    long forgetAtMicros;
    // An unconfirmed override stays in effect for no longer than its lifetime after the
    // start of this server.
    long unconfirmedUntilMicros;

    Entry(String id) {
      this.id = id;
    }

    boolean isLive() {
      return status == OverrideStatus.UNCONFIRMED || status == OverrideStatus.ACTIVE;
    }
  }

  /** The effect of an update on the table. */
  public enum UpdateResult {
    /** The table has changed. */
    APPLIED,
    /** The update is known, superseded, incomplete or too old; status and version are unchanged. */
    IGNORED,
    /** A limit is reached, and the update was rejected. */
    FULL
  }

  private final OverrideLimits limits;
  private final Map<String, Entry> entries = new TreeMap<>();
  private long revision;

  /**
   * Creates an empty table.
   *
   * @param limits its limits
   */
  public OverrideTable(OverrideLimits limits) {
    this.limits = limits;
  }

  /** The longest true duration of an interval of the local clock, given its drift. */
  private long withDrift(long intervalMicros) {
    return (long) Math.ceil(intervalMicros * (1 + limits.maxClockDriftRatio()));
  }

  private long ageMicros(Entry entry, long nowMicros) {
    return entry.ageMicros + withDrift(nowMicros - entry.measuredAtMicros);
  }

  /**
   * Adds an override that is created here and now.
   *
   * @param nowMicros the current time
   * @param value the override
   * @return {@code IGNORED} if its id is in use or has a tombstone
   */
  public UpdateResult create(long nowMicros, TrafficOverride value) {
    expire(nowMicros);
    if (entries.containsKey(value.id())) {
      return UpdateResult.IGNORED;
    }
    return apply(
        nowMicros,
        new ReplicaState(value.id(), value.version(), OverrideStatus.ACTIVE, 0, value),
        nowMicros,
        0);
  }

  /**
   * Revokes an override, whether it is known or not.
   *
   * @param nowMicros the current time
   * @param id its id
   * @return the effect on the table
   */
  public UpdateResult revoke(long nowMicros, String id) {
    expire(nowMicros);
    Entry known = entries.get(id);
    return apply(
        nowMicros,
        new ReplicaState(id, known == null ? null : known.version, OverrideStatus.REVOKED, 0, null),
        nowMicros,
        0);
  }

  /**
   * Merges a state from a response of another replica.
   *
   * @param nowMicros the current time
   * @param state the state
   * @param requestedAtMicros the time at which the request was sent, by this clock
   * @param uptimeMicros the time since the start of this server, or {@link Long#MAX_VALUE} once it
   *     has recovered: an unconfirmed override is accepted only while this is below its lifetime
   * @return the effect on the table
   */
  public UpdateResult merge(
      long nowMicros, ReplicaState state, long requestedAtMicros, long uptimeMicros) {
    expire(nowMicros);
    if (state.status() == OverrideStatus.UNCONFIRMED
        && (state.value() == null || uptimeMicros >= state.value().ttlMicros())) {
      // Incomplete, or its lifetime may have passed while this server was up.
      return UpdateResult.IGNORED;
    }
    return apply(nowMicros, state, requestedAtMicros, uptimeMicros);
  }

  /**
   * Loads the states on this server's own disk. Overrides become unconfirmed, because the time
   * since they were written is not known.
   *
   * @param nowMicros the current time
   * @param saved the states
   */
  public void load(long nowMicros, Collection<ReplicaState> saved) {
    for (ReplicaState state : saved) {
      boolean live = state.value() != null;
      apply(
          nowMicros,
          live
              ? new ReplicaState(
                  state.id(),
                  state.version(),
                  OverrideStatus.UNCONFIRMED,
                  state.age(),
                  state.value())
              : state,
          nowMicros,
          0);
    }
  }

  private UpdateResult apply(
      long nowMicros, ReplicaState update, long requestedAtMicros, long uptimeMicros) {
    boolean updateLive =
        update.status() == OverrideStatus.ACTIVE || update.status() == OverrideStatus.UNCONFIRMED;
    if ((updateLive && update.value() == null)
        || (update.version() == null && update.status() != OverrideStatus.REVOKED)) {
      return UpdateResult.IGNORED; // incomplete
    }
    // The override may have aged by the whole round trip of the request.
    long ageMicros = update.age() + withDrift(nowMicros - requestedAtMicros);
    OverrideStatus status =
        updateLive && ageMicros >= update.value().ttlMicros()
            ? OverrideStatus.EXPIRED
            : update.status();
    Entry known = entries.get(update.id());
    if (known != null && !supersedes(update.version(), status, known)) {
      if (updateLive
          && known.isLive()
          && known.status == status
          && update.version().equals(known.version)) {
        // Both ages of an active override are upper bounds. An unconfirmed age lacks the
        // unknown time on disk, so the higher one is closer.
        known.ageMicros =
            status == OverrideStatus.ACTIVE
                ? Math.min(ageMicros, ageMicros(known, nowMicros))
                : Math.max(ageMicros, ageMicros(known, nowMicros));
        known.measuredAtMicros = nowMicros;
      }
      return UpdateResult.IGNORED;
    }
    boolean resultLive = status == OverrideStatus.ACTIVE || status == OverrideStatus.UNCONFIRMED;
    if (exceedsLimits(known, resultLive ? update.value() : null)) {
      return UpdateResult.FULL;
    }
    Entry entry = known == null ? new Entry(update.id()) : known;
    long ttlMicros =
        update.value() != null
            ? update.value().ttlMicros()
            : entry.value != null ? entry.value.ttlMicros() : limits.maxTtlSeconds() * 1_000_000L;
    entries.put(entry.id, entry);
    entry.version = update.version() != null ? update.version() : entry.version;
    entry.status = status;
    entry.value = resultLive ? update.value() : null;
    entry.ageMicros = ageMicros;
    entry.measuredAtMicros = nowMicros;
    entry.unconfirmedUntilMicros =
        status == OverrideStatus.UNCONFIRMED
            ? nowMicros + ttlMicros - Math.max(ageMicros, uptimeMicros)
            : 0;
    entry.forgetAtMicros =
        resultLive
            ? Long.MAX_VALUE
            : nowMicros + ttlMicros + 2 * (withDrift(ttlMicros) - ttlMicros);
    revision++;
    return UpdateResult.APPLIED;
  }

  /**
   * Whether an update takes precedence over a known entry: a revocation over all else, then a
   * confirmed status over an unconfirmed one, then the higher version, then expired over active.
   */
  private static boolean supersedes(Version version, OverrideStatus status, Entry known) {
    if (known.status == OverrideStatus.REVOKED || status == OverrideStatus.REVOKED) {
      return known.status != OverrideStatus.REVOKED;
    }
    if (status == OverrideStatus.UNCONFIRMED != (known.status == OverrideStatus.UNCONFIRMED)) {
      return known.status == OverrideStatus.UNCONFIRMED;
    }
    int order = version.compareTo(known.version);
    return order > 0 || (order == 0 && status.compareTo(known.status) > 0);
  }

  private boolean exceedsLimits(Entry known, TrafficOverride value) {
    if (known == null && entries.size() >= limits.maxLive() + limits.maxTombstones()) {
      return true;
    } else if (value == null) {
      return false; // a known override can always be revoked
    }
    int textChars = value.textChars();
    int liveCount = 1;
    for (Entry entry : entries.values()) {
      if (entry.isLive() && entry != known) {
        textChars += entry.value.textChars();
        liveCount++;
      }
    }
    return liveCount > limits.maxLive() || textChars > limits.maxTextChars();
  }

  /**
   * Expires overrides whose lifetime is over, and drops tombstones that have been kept long enough.
   *
   * @param nowMicros the current time
   */
  public void expire(long nowMicros) {
    for (Entry entry : List.copyOf(entries.values())) {
      if (entry.isLive() && ageMicros(entry, nowMicros) >= entry.value.ttlMicros()) {
        long ttlMicros = entry.value.ttlMicros();
        entry.forgetAtMicros = nowMicros + ttlMicros + 2 * (withDrift(ttlMicros) - ttlMicros);
        entry.status = OverrideStatus.EXPIRED;
        entry.value = null;
        revision++;
      } else if (!entry.isLive() && nowMicros >= entry.forgetAtMicros) {
        entries.remove(entry.id);
      }
    }
  }

  /**
   * The current status of an override.
   *
   * @param nowMicros the current time
   * @param id its id
   * @return its status, or null if it is not known
   */
  public OverrideStatus status(long nowMicros, String id) {
    expire(nowMicros);
    Entry entry = entries.get(id);
    return entry == null ? null : entry.status;
  }

  /**
   * The overrides in effect: the active ones, and the unconfirmed ones with {@code
   * keepUnconfirmed}, until their lifetime has passed since the start of this server.
   *
   * @param nowMicros the current time
   * @return the overrides in order of precedence
   */
  public List<TrafficOverride> inEffect(long nowMicros) {
    expire(nowMicros);
    List<TrafficOverride> overrides = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.status == OverrideStatus.ACTIVE
          || (entry.status == OverrideStatus.UNCONFIRMED
              && entry.value.keepUnconfirmed()
              && nowMicros < entry.unconfirmedUntilMicros)) {
        overrides.add(entry.value);
      }
    }
    overrides.sort(TrafficOverride.PRECEDENCE);
    return overrides;
  }

  /**
   * A time before which {@link #inEffect} does not change, unless the table is updated.
   *
   * @param nowMicros the current time
   * @return a time of this clock, or {@link Long#MAX_VALUE} if no override is live
   */
  public long inEffectUntil(long nowMicros) {
    return entries.values().stream()
        .filter(Entry::isLive)
        .mapToLong(
            entry ->
                entry.status == OverrideStatus.UNCONFIRMED
                        && nowMicros < entry.unconfirmedUntilMicros
                    ? entry.unconfirmedUntilMicros
                    : entry.measuredAtMicros
                        + (long)
                            ((entry.value.ttlMicros() - entry.ageMicros)
                                / (1 + limits.maxClockDriftRatio())))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * The states of all known overrides, for other replicas and for the disk.
   *
   * @param nowMicros the current time
   * @return the states in the order of their ids
   */
  public List<ReplicaState> replicaStates(long nowMicros) {
    expire(nowMicros);
    return entries.values().stream()
        .map(
            entry ->
                new ReplicaState(
                    entry.id,
                    entry.version,
                    entry.status,
                    entry.isLive() ? ageMicros(entry, nowMicros) : 0,
                    entry.value))
        .toList();
  }

  /**
   * The state of one override.
   *
   * @param nowMicros the current time
   * @param id the id of the override
   * @return its state, or null if it is not known
   */
  public ReplicaState replicaState(long nowMicros, String id) {
    expire(nowMicros);
    Entry entry = entries.get(id);
    return entry == null
        ? null
        : new ReplicaState(
            entry.id,
            entry.version,
            entry.status,
            entry.isLive() ? ageMicros(entry, nowMicros) : 0,
            entry.value);
  }

  /**
   * Whether a state of another replica is unknown here or supersedes the entry, so that it has to
   * be requested.
   *
   * @param id its id
   * @param version its version, or null
   * @param status its status at the other replica
   * @return true if it has to be requested
   */
  public boolean isNewer(String id, Version version, OverrideStatus status) {
    Entry known = entries.get(id);
    return known == null || supersedes(version, status, known);
  }

  /**
   * A counter that increases whenever an override is added or changes its status or version.
   *
   * @return the counter
   */
  public long revision() {
    return revision;
  }
}
