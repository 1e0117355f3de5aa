package mothwing.override;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Replicates overrides between servers: new ones are announced at once, differences are found by
 * digests, and missing ones are requested. Does no I/O: messages and the clock are passed in, and
 * {@link OverrideHost} carries out the effects. Messages may be lost, delayed, duplicated,
 * reordered, or sent before a restart of their sender. Each is only a hint, except a response to an
 * open request, and an acknowledgement of the current state. Times are microseconds of the local
 * monotonic clock.
 */
public final class AntiEntropy {
  /** Mean interval between digests; each goes to one random peer. */
  private static final long DIGEST_INTERVAL_MICROS = 1_000_000;

  /**
   * The limit of open requests; beyond it the oldest is dropped, and is sent again after the next
   * digest.
   */
  private static final int MAX_OPEN_REQUESTS = 256;

  /** Keeps a request within one frame; inventories are not split. */
  private static final int MAX_IDS_PER_REQUEST = 64;

  /** Digest intervals in which an update is announced again to peers that have not persisted it. */
  private static final int MAX_ANNOUNCEMENT_ROUNDS = 5;

  private record OpenRequest(String peer, long sentAtMicros) {}

  /**
   * The servers that have persisted an update made here, and the number of rounds in which it was
   * announced again.
   */
  private static final class UpdateProgress {
    final Set<String> persistedOn = new LinkedHashSet<>();
    int repeatedRounds;
  }

  private final String self;
  private final OverrideTable table;
  private final OverrideHost host;
  private final Random random;
  private final long epoch;
  private final long startedAtMicros;
  private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
  private final Map<String, UpdateProgress> localUpdates = new TreeMap<>();
  private final Set<String> persistedIds = new LinkedHashSet<>();
  private long createdCount;
  private long nextDigestMicros;
  private boolean recovering;

  /**
   * Creates the replication for the time from one start of a server to the next.
   *
   * @param self the name of this server
   * @param epoch the number of this start; must be on disk before this object is created
   * @param table the overrides known here; states on disk are loaded before the first tick
   * @param startedAtMicros the time of this start
   * @param recovering whether this server may have missed updates while it was down; ended by
   *     {@link #endRecovery}
   * @param random chooses peers, request numbers and delays
   * @param host carries out the effects
   */
  public AntiEntropy(
      String self,
      long epoch,
      OverrideTable table,
      long startedAtMicros,
      boolean recovering,
      Random random,
      OverrideHost host) {
    this.self = self;
    this.epoch = epoch;
    this.table = table;
    this.startedAtMicros = startedAtMicros;
    this.recovering = recovering;
    this.random = random;
    this.host = host;
  }

  /** Ends the recovery: from now on unconfirmed states of other replicas are ignored. */
  public void endRecovery() {
    recovering = false;
  }

  /**
   * The version for the next override created here.
   *
   * @return a version that has not been returned before
   */
  public Version nextVersion() {
    return new Version(epoch, self, ++createdCount);
  }

  /**
   * Creates an override. It takes effect here at once, and elsewhere as soon as it arrives there.
   *
   * @param nowMicros the current time
   * @param value the override, with a version from {@link #nextVersion}
   * @return the effect on the table
   */
  public OverrideTable.UpdateResult create(long nowMicros, TrafficOverride value) {
    OverrideTable.UpdateResult result = table.create(nowMicros, value);
    if (result == OverrideTable.UpdateResult.APPLIED) {
      announce(nowMicros, value.id());
    }
    return result;
  }

  /**
   * Revokes an override.
   *
   * @param nowMicros the current time
   * @param id its id
   * @return the effect on the table
   */
  public OverrideTable.UpdateResult revoke(long nowMicros, String id) {
    OverrideTable.UpdateResult result = table.revoke(nowMicros, id);
    if (result == OverrideTable.UpdateResult.APPLIED) {
      announce(nowMicros, id);
    }
    return result;
  }

  private void announce(long nowMicros, String id) {
    localUpdates.put(id, new UpdateProgress());
    onUpdate(nowMicros, id);
    OverrideMessage.Inventory inventory =
        new OverrideMessage.Inventory(List.of(entry(table.replicaState(nowMicros, id))), true);
    host.peers().forEach(peer -> host.send(peer, inventory));
  }

  private void onUpdate(long nowMicros, String id) {
    persistedIds.remove(id);
    host.onChange();
    host.persist(table.replicaState(nowMicros, id));
  }

  /**
   * Records that a state is on disk, and acknowledges it to all peers.
   *
   * @param nowMicros the current time
   * @param state the state that was passed to {@link OverrideHost#persist}
   */
  public void onPersisted(long nowMicros, ReplicaState state) {
    ReplicaState current = table.replicaState(nowMicros, state.id());
    if (current == null
        || current.status() != state.status()
        || !Objects.equals(current.version(), state.version())) {
      return; // it has changed since, and the newer state is being persisted
    }
    persistedIds.add(state.id());
    UpdateProgress progress = localUpdates.get(state.id());
    if (progress != null) {
      progress.persistedOn.add(self);
    }
    host.peers()
        .forEach(
            peer ->
                host.send(
                    peer, new OverrideMessage.Stored(state.id(), state.version(), state.status())));
  }

  /**
   * The servers that are known to have persisted a recent update that was made here.
   *
   * @param id the id of the override that was created or revoked
   * @return the names of the servers; empty once the update is no longer announced
   */
  public Set<String> persistedReplicas(String id) {
    UpdateProgress progress = localUpdates.get(id);
    return progress == null ? Set.of() : Set.copyOf(progress.persistedOn);
  }

  private static OverrideMessage.InventoryEntry entry(ReplicaState state) {
    return new OverrideMessage.InventoryEntry(state.id(), state.version(), state.status());
  }

  /**
   * Does the periodic work: expiry, digests and repeated announcements. To be called at least ten
   * times a second.
   *
   * @param nowMicros the current time
   */
  public void tick(long nowMicros) {
    long revisionBefore = table.revision();
    table.expire(nowMicros);
    if (table.revision() != revisionBefore) {
      host.onChange();
    }
    if (nowMicros < nextDigestMicros) {
      return;
    }
    nextDigestMicros =
        nowMicros
            + DIGEST_INTERVAL_MICROS / 2
            + (long) (random.nextDouble() * DIGEST_INTERVAL_MICROS);
    List<String> peers = host.peers();
    if (peers.isEmpty()) {
      return;
    }
    String peer = peers.get(random.nextInt(peers.size()));
    host.send(peer, new OverrideMessage.Digest(hash(nowMicros)));
    List<String> unconfirmed =
        table.replicaStates(nowMicros).stream()
            .filter(state -> state.status() == OverrideStatus.UNCONFIRMED)
            .map(ReplicaState::id)
            .limit(MAX_IDS_PER_REQUEST)
            .toList();
    if (!unconfirmed.isEmpty()) {
      request(nowMicros, peer, unconfirmed);
    }
    if (recovering) {
      host.send(peer, new OverrideMessage.Inventory(inventory(nowMicros, true), false));
    }
    localUpdates.values().removeIf(progress -> ++progress.repeatedRounds > MAX_ANNOUNCEMENT_ROUNDS);
    localUpdates.forEach(
        (id, progress) -> {
          ReplicaState state = table.replicaState(nowMicros, id);
          if (state != null) {
            peers.stream()
                .filter(receiver -> !progress.persistedOn.contains(receiver))
                .forEach(
                    receiver ->
                        host.send(
                            receiver, new OverrideMessage.Inventory(List.of(entry(state)), true)));
          }
        });
  }

  /** A hash of all confirmed states, equal on replicas that hold the same. */
  private long hash(long nowMicros) {
    long hash = 1;
    for (ReplicaState state : table.replicaStates(nowMicros)) {
      if (state.status() != OverrideStatus.UNCONFIRMED) {
        Version version =
            state.status() == OverrideStatus.REVOKED ? new Version(0, "", 0) : state.version();
        hash =
            31 * hash
                + Objects.hash(
                    state.id(),
                    version.epoch(),
                    version.origin(),
                    version.sequence(),
                    state.status().ordinal());
      }
    }
    return hash;
  }

  private List<OverrideMessage.InventoryEntry> inventory(
      long nowMicros, boolean includeUnconfirmed) {
    List<OverrideMessage.InventoryEntry> entries = new ArrayList<>();
    for (ReplicaState state : table.replicaStates(nowMicros)) {
      if (includeUnconfirmed || state.status() != OverrideStatus.UNCONFIRMED) {
        entries.add(entry(state));
      }
    }
    return entries;
  }

  /**
   * Handles a message of another server.
   *
   * @param nowMicros the current time
   * @param from the server that the message names as its sender
   * @param message the message
   */
  public void receive(long nowMicros, String from, OverrideMessage message) {
    if (message instanceof OverrideMessage.Digest digest) {
      if (digest.hash() != hash(nowMicros)) {
        host.send(from, new OverrideMessage.Inventory(inventory(nowMicros, false), false));
      }
    } else if (message instanceof OverrideMessage.Inventory inventory) {
      onInventory(nowMicros, from, inventory);
    } else if (message instanceof OverrideMessage.Request request) {
      List<ReplicaState> states =
          request.ids().stream()
              .map(id -> table.replicaState(nowMicros, id))
              .filter(Objects::nonNull)
              .toList();
      host.send(from, new OverrideMessage.Response(request.number(), states));
    } else if (message instanceof OverrideMessage.Response response) {
      onResponse(nowMicros, from, response);
    } else if (message instanceof OverrideMessage.Stored stored) {
      ReplicaState current = table.replicaState(nowMicros, stored.id());
      UpdateProgress progress = localUpdates.get(stored.id());
      if (progress != null
          && current != null
          && current.status() == stored.status()
          && Objects.equals(current.version(), stored.version())) {
        progress.persistedOn.add(from);
      }
    }
  }

  private void onInventory(long nowMicros, String from, OverrideMessage.Inventory inventory) {
    List<String> missing = new ArrayList<>();
    Set<String> listed = new LinkedHashSet<>();
    for (OverrideMessage.InventoryEntry entry : inventory.entries()) {
      listed.add(entry.id());
      boolean acceptable = entry.status() != OverrideStatus.UNCONFIRMED || recovering;
      if (acceptable && table.isNewer(entry.id(), entry.version(), entry.status())) {
        missing.add(entry.id());
      } else if (persistedIds.contains(entry.id())
          && table.replicaState(nowMicros, entry.id()) != null) {
        ReplicaState current = table.replicaState(nowMicros, entry.id());
        host.send(
            from, new OverrideMessage.Stored(current.id(), current.version(), current.status()));
      }
    }
    for (int start = 0; start < missing.size(); start += MAX_IDS_PER_REQUEST) {
      int end = Math.min(missing.size(), start + MAX_IDS_PER_REQUEST);
      request(nowMicros, from, missing.subList(start, end));
    }
    if (!inventory.partial()) {
      // The sender lacks, or has not confirmed, the overrides that it does not list.
      List<OverrideMessage.InventoryEntry> unlisted =
          inventory(nowMicros, false).stream()
              .filter(entry -> !listed.contains(entry.id()))
              .toList();
      if (!unlisted.isEmpty()) {
        host.send(from, new OverrideMessage.Inventory(unlisted, true));
      }
    }
  }

  private void request(long nowMicros, String peer, List<String> ids) {
    long number = random.nextLong();
    openRequests.put(number, new OpenRequest(peer, nowMicros));
    if (openRequests.size() > MAX_OPEN_REQUESTS) {
      openRequests.remove(openRequests.keySet().iterator().next());
    }
    host.send(peer, new OverrideMessage.Request(number, List.copyOf(ids)));
  }

  private void onResponse(long nowMicros, String from, OverrideMessage.Response response) {
    OpenRequest request = openRequests.get(response.number());
    if (request == null || !request.peer().equals(from)) {
      return;
    }
    openRequests.remove(response.number());
    for (ReplicaState state : response.states()) {
      long uptimeMicros = recovering ? nowMicros - startedAtMicros : Long.MAX_VALUE;
      if (table.merge(nowMicros, state, request.sentAtMicros(), uptimeMicros)
          == OverrideTable.UpdateResult.APPLIED) {
        onUpdate(nowMicros, state.id());
      }
    }
  }
}
