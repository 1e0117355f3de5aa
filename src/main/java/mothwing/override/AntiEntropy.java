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
 * One server's part in the sharing of overrides: what is new is told at once, what differs is found
 * by digests, what is wanted is asked for. Pure: messages and the clock go in, {@link OverrideHost}
 * carries out. Messages may be lost, late, repeated, reordered or of a former start; all of them
 * are hints but an answer to a question that is open here.
 */
public final class AntiEntropy {
  private static final long PERIOD = 1_000_000; // microseconds between digests to one other server
  private static final int MOST_QUESTIONS =
      256; // open at once; the oldest gives way, and is asked again by the next digest
  private static final int MOST_IDS = 64; // in one message: it is to fit a frame
  private static final int TOLD_ROUNDS =
      5; // periods in which what is not on enough disks is told again

  private record Question(String to, long at) {}

  private static final class Wanted {
    final Set<String> disks = new LinkedHashSet<>();
    int rounds;
  }

  private final String self;
  private final OverrideTable book;
  private final OverrideHost host;
  private final Random random;
  private final long start;
  private final long startedAt;
  private final Map<Long, Question> questions = new LinkedHashMap<>();
  private final Map<String, Wanted> disks = new TreeMap<>();
  private final Set<String> onDisk = new LinkedHashSet<>();
  private long made;
  private long nextDigest;
  private boolean recovering;

  /**
   * Makes it for one start of a server.
   *
   * @param self its name
   * @param start the number of this start, forced before this is made
   * @param book what it knows: what its disk had is loaded
   * @param startedAt the clock at this start
   * @param recovering whether it is back from a start, until {@link #endRecovery}
   * @param random its random numbers
   * @param host carries out
   */
  public AntiEntropy(
      String self,
      long start,
      OverrideTable book,
      long startedAt,
      boolean recovering,
      Random random,
      OverrideHost host) {
    this.self = self;
    this.start = start;
    this.book = book;
    this.startedAt = startedAt;
    this.recovering = recovering;
    this.random = random;
    this.host = host;
  }

  /** From now on it is one that ran through what others slept through. */
  public void endRecovery() {
    recovering = false;
  }

  /**
   * The version of the next override that is made here.
   *
   * @return it; each is given once
   */
  public Version nextVersion() {
    return new Version(start, self, ++made);
  }

  /**
   * Makes an override. It acts here at once, and elsewhere once it is heard of.
   *
   * @param now the clock
   * @param value it, with a version of {@link #nextVersion}
   * @return how it was taken
   */
  public OverrideTable.UpdateResult create(long now, TrafficOverride value) {
    OverrideTable.UpdateResult taken = book.create(now, value);
    if (taken == OverrideTable.UpdateResult.APPLIED) {
      tell(now, value.id());
    }
    return taken;
  }

  /**
   * Takes an override back.
   *
   * @param now the clock
   * @param id its id
   * @return how it was taken
   */
  public OverrideTable.UpdateResult revoke(long now, String id) {
    OverrideTable.UpdateResult taken = book.revoke(now, id);
    if (taken == OverrideTable.UpdateResult.APPLIED) {
      tell(now, id);
    }
    return taken;
  }

  private void tell(long now, String id) {
    disks.put(id, new Wanted());
    changed(now, id);
    OverrideMessage.Inventory known =
        new OverrideMessage.Inventory(List.of(has(book.replicaState(now, id))), true);
    host.peers().forEach(one -> host.send(one, known));
  }

  private void changed(long now, String id) {
    onDisk.remove(id);
    host.onChange();
    host.persist(book.replicaState(now, id));
  }

  /**
   * What was to be kept is forced.
   *
   * @param now the clock
   * @param told what was given to {@link OverrideHost#persist}
   */
  public void onPersisted(long now, ReplicaState told) {
    ReplicaState known = book.replicaState(now, told.id());
    if (known == null
        || known.status() != told.status()
        || !Objects.equals(known.version(), told.version())) {
      return; // it has changed since, and is on its way to the disk again
    }
    onDisk.add(told.id());
    Wanted here = disks.get(told.id());
    if (here != null) {
      here.disks.add(self);
    }
    host.peers()
        .forEach(
            one ->
                host.send(
                    one, new OverrideMessage.Stored(told.id(), told.version(), told.status())));
  }

  /**
   * On how many disks something that was made or taken back here is known to be forced.
   *
   * @param id its id
   * @return the names of the servers
   */
  public Set<String> durableReplicas(String id) {
    Wanted here = disks.get(id);
    return here == null ? Set.of() : Set.copyOf(here.disks);
  }

  private static OverrideMessage.InventoryEntry has(ReplicaState told) {
    return new OverrideMessage.InventoryEntry(told.id(), told.version(), told.status());
  }

  /**
   * What its loop does now and then: at least ten times a second.
   *
   * @param now the clock
   */
  public void tick(long now) {
    long before = book.revision();
    book.expire(now);
    if (book.revision() != before) {
      host.onChange();
    }
    if (now < nextDigest) {
      return;
    }
    nextDigest = now + PERIOD / 2 + (long) (random.nextDouble() * PERIOD);
    List<String> others = host.peers();
    if (others.isEmpty()) {
      return;
    }
    String one = others.get(random.nextInt(others.size()));
    host.send(one, new OverrideMessage.Digest(hash(now)));
    List<String> unsure =
        book.replicaStates(now).stream()
            .filter(told -> told.status() == OverrideStatus.UNCONFIRMED)
            .map(ReplicaState::id)
            .limit(MOST_IDS)
            .toList();
    if (!unsure.isEmpty()) {
      ask(now, one, unsure);
    }
    if (recovering) {
      host.send(one, new OverrideMessage.Inventory(all(now, true), false));
    }
    disks.values().removeIf(wanted -> ++wanted.rounds > TOLD_ROUNDS);
    disks.forEach(
        (id, wanted) -> {
          ReplicaState told = book.replicaState(now, id);
          if (told != null) {
            others.stream()
                .filter(other -> !wanted.disks.contains(other))
                .forEach(
                    other ->
                        host.send(other, new OverrideMessage.Inventory(List.of(has(told)), true)));
          }
        });
  }

  /** A hash of what is known surely, alike wherever the same is known. */
  private long hash(long now) {
    long hash = 1;
    for (ReplicaState one : book.replicaStates(now)) {
      if (one.status() != OverrideStatus.UNCONFIRMED) {
        Version version =
            one.status() == OverrideStatus.REVOKED ? new Version(0, "", 0) : one.version();
        hash =
            31 * hash
                + Objects.hash(
                    one.id(),
                    version.epoch(),
                    version.origin(),
                    version.sequence(),
                    one.status().ordinal());
      }
    }
    return hash;
  }

  private List<OverrideMessage.InventoryEntry> all(long now, boolean unsure) {
    List<OverrideMessage.InventoryEntry> all = new ArrayList<>();
    for (ReplicaState one : book.replicaStates(now)) {
      if (unsure || one.status() != OverrideStatus.UNCONFIRMED) {
        all.add(has(one));
      }
    }
    return all;
  }

  /**
   * A message has come.
   *
   * @param now the clock
   * @param from the server that its sender says to be
   * @param message it
   */
  public void receive(long now, String from, OverrideMessage message) {
    if (message instanceof OverrideMessage.Digest digest) {
      if (digest.hash() != hash(now)) {
        host.send(from, new OverrideMessage.Inventory(all(now, false), false));
      }
    } else if (message instanceof OverrideMessage.Inventory known) {
      known(now, from, known);
    } else if (message instanceof OverrideMessage.Request question) {
      List<ReplicaState> all =
          question.ids().stream()
              .map(id -> book.replicaState(now, id))
              .filter(Objects::nonNull)
              .toList();
      host.send(from, new OverrideMessage.Response(question.number(), all));
    } else if (message instanceof OverrideMessage.Response answer) {
      answered(now, from, answer);
    } else if (message instanceof OverrideMessage.Stored stored) {
      ReplicaState here = book.replicaState(now, stored.id());
      Wanted wanted = disks.get(stored.id());
      if (wanted != null
          && here != null
          && here.status() == stored.status()
          && Objects.equals(here.version(), stored.version())) {
        wanted.disks.add(from);
      }
    }
  }

  private void known(long now, String from, OverrideMessage.Inventory known) {
    List<String> wanted = new ArrayList<>();
    Set<String> named = new LinkedHashSet<>();
    for (OverrideMessage.InventoryEntry one : known.entries()) {
      named.add(one.id());
      boolean takes = one.status() != OverrideStatus.UNCONFIRMED || recovering;
      if (takes && book.isNewer(one.id(), one.version(), one.status())) {
        wanted.add(one.id());
      } else if (onDisk.contains(one.id()) && book.replicaState(now, one.id()) != null) {
        ReplicaState here = book.replicaState(now, one.id());
        host.send(from, new OverrideMessage.Stored(here.id(), here.version(), here.status()));
      }
    }
    for (int at = 0; at < wanted.size(); at += MOST_IDS) {
      ask(now, from, wanted.subList(at, Math.min(wanted.size(), at + MOST_IDS)));
    }
    if (!known.partial()) { // its sender lacks what it does not name
      List<OverrideMessage.InventoryEntry> more =
          all(now, false).stream().filter(one -> !named.contains(one.id())).toList();
      if (!more.isEmpty()) {
        host.send(from, new OverrideMessage.Inventory(more, true));
      }
    }
  }

  private void ask(long now, String to, List<String> ids) {
    long number = random.nextLong();
    questions.put(number, new Question(to, now));
    if (questions.size() > MOST_QUESTIONS) {
      questions.remove(questions.keySet().iterator().next());
    }
    host.send(to, new OverrideMessage.Request(number, List.copyOf(ids)));
  }

  private void answered(long now, String from, OverrideMessage.Response answer) {
    Question question = questions.get(answer.number());
    if (question == null || !question.to().equals(from)) {
      return;
    }
    questions.remove(answer.number());
    for (ReplicaState one : answer.states()) {
      if (book.merge(now, one, question.at(), recovering ? now - startedAt : Long.MAX_VALUE)
          == OverrideTable.UpdateResult.APPLIED) {
        changed(now, one.id());
      }
    }
  }
}
