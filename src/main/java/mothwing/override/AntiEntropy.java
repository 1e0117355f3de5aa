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
   * @param recovering whether it is back from a start, until {@link #recovered}
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
  public void recovered() {
    recovering = false;
  }

  /**
   * The stamp of the next override that is made here.
   *
   * @return it; each is given once
   */
  public Version stamp() {
    return new Version(start, self, ++made);
  }

  /**
   * Makes an override. It acts here at once, and elsewhere once it is heard of.
   *
   * @param now the clock
   * @param value it, with a stamp of {@link #stamp}
   * @return how it was taken
   */
  public OverrideTable.UpdateResult make(long now, TrafficOverride value) {
    OverrideTable.UpdateResult taken = book.make(now, value);
    if (taken == OverrideTable.UpdateResult.NEW) {
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
    if (taken == OverrideTable.UpdateResult.NEW) {
      tell(now, id);
    }
    return taken;
  }

  private void tell(long now, String id) {
    disks.put(id, new Wanted());
    changed(now, id);
    OverrideMessage.Known known = new OverrideMessage.Known(List.of(has(book.told(now, id))), true);
    host.others().forEach(one -> host.send(one, known));
  }

  private void changed(long now, String id) {
    onDisk.remove(id);
    host.changed();
    host.force(book.told(now, id));
  }

  /**
   * What was to be kept is forced.
   *
   * @param now the clock
   * @param told what was given to {@link OverrideHost#force}
   */
  public void forced(long now, ReplicaState told) {
    ReplicaState known = book.told(now, told.id());
    if (known == null
        || known.standing() != told.standing()
        || !Objects.equals(known.stamp(), told.stamp())) {
      return; // it has changed since, and is on its way to the disk again
    }
    onDisk.add(told.id());
    Wanted here = disks.get(told.id());
    if (here != null) {
      here.disks.add(self);
    }
    host.others()
        .forEach(
            one ->
                host.send(
                    one, new OverrideMessage.Stored(told.id(), told.stamp(), told.standing())));
  }

  /**
   * On how many disks something that was made or taken back here is known to be forced.
   *
   * @param id its id
   * @return the names of the servers
   */
  public Set<String> disksOf(String id) {
    Wanted here = disks.get(id);
    return here == null ? Set.of() : Set.copyOf(here.disks);
  }

  private static OverrideMessage.Has has(ReplicaState told) {
    return new OverrideMessage.Has(told.id(), told.stamp(), told.standing());
  }

  /**
   * What its loop does now and then: at least ten times a second.
   *
   * @param now the clock
   */
  public void tick(long now) {
    long before = book.version();
    book.pass(now);
    if (book.version() != before) {
      host.changed();
    }
    if (now < nextDigest) {
      return;
    }
    nextDigest = now + PERIOD / 2 + (long) (random.nextDouble() * PERIOD);
    List<String> others = host.others();
    if (others.isEmpty()) {
      return;
    }
    String one = others.get(random.nextInt(others.size()));
    host.send(one, new OverrideMessage.Digest(hash(now)));
    List<String> unsure =
        book.told(now).stream()
            .filter(told -> told.standing() == OverrideStatus.UNSURE)
            .map(ReplicaState::id)
            .limit(MOST_IDS)
            .toList();
    if (!unsure.isEmpty()) {
      ask(now, one, unsure);
    }
    if (recovering) {
      host.send(one, new OverrideMessage.Known(all(now, true), false));
    }
    disks.values().removeIf(wanted -> ++wanted.rounds > TOLD_ROUNDS);
    disks.forEach(
        (id, wanted) -> {
          ReplicaState told = book.told(now, id);
          if (told != null) {
            others.stream()
                .filter(other -> !wanted.disks.contains(other))
                .forEach(
                    other -> host.send(other, new OverrideMessage.Known(List.of(has(told)), true)));
          }
        });
  }

  /** A hash of what is known surely, alike wherever the same is known. */
  private long hash(long now) {
    long hash = 1;
    for (ReplicaState one : book.told(now)) {
      if (one.standing() != OverrideStatus.UNSURE) {
        Version stamp =
            one.standing() == OverrideStatus.REVOKED ? new Version(0, "", 0) : one.stamp();
        hash =
            31 * hash
                + Objects.hash(
                    one.id(),
                    stamp.start(),
                    stamp.origin(),
                    stamp.count(),
                    one.standing().ordinal());
      }
    }
    return hash;
  }

  private List<OverrideMessage.Has> all(long now, boolean unsure) {
    List<OverrideMessage.Has> all = new ArrayList<>();
    for (ReplicaState one : book.told(now)) {
      if (unsure || one.standing() != OverrideStatus.UNSURE) {
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
  public void came(long now, String from, OverrideMessage message) {
    if (message instanceof OverrideMessage.Digest digest) {
      if (digest.hash() != hash(now)) {
        host.send(from, new OverrideMessage.Known(all(now, false), false));
      }
    } else if (message instanceof OverrideMessage.Known known) {
      known(now, from, known);
    } else if (message instanceof OverrideMessage.Ask question) {
      List<ReplicaState> all =
          question.ids().stream().map(id -> book.told(now, id)).filter(Objects::nonNull).toList();
      host.send(from, new OverrideMessage.Answer(question.number(), all));
    } else if (message instanceof OverrideMessage.Answer answer) {
      answered(now, from, answer);
    } else if (message instanceof OverrideMessage.Stored stored) {
      ReplicaState here = book.told(now, stored.id());
      Wanted wanted = disks.get(stored.id());
      if (wanted != null
          && here != null
          && here.standing() == stored.standing()
          && Objects.equals(here.stamp(), stored.stamp())) {
        wanted.disks.add(from);
      }
    }
  }

  private void known(long now, String from, OverrideMessage.Known known) {
    List<String> wanted = new ArrayList<>();
    Set<String> named = new LinkedHashSet<>();
    for (OverrideMessage.Has one : known.all()) {
      named.add(one.id());
      boolean takes = one.standing() != OverrideStatus.UNSURE || recovering;
      if (takes && book.wants(one.id(), one.stamp(), one.standing())) {
        wanted.add(one.id());
      } else if (onDisk.contains(one.id()) && book.told(now, one.id()) != null) {
        ReplicaState here = book.told(now, one.id());
        host.send(from, new OverrideMessage.Stored(here.id(), here.stamp(), here.standing()));
      }
    }
    for (int at = 0; at < wanted.size(); at += MOST_IDS) {
      ask(now, from, wanted.subList(at, Math.min(wanted.size(), at + MOST_IDS)));
    }
    if (!known.part()) { // its sender lacks what it does not name
      List<OverrideMessage.Has> more =
          all(now, false).stream().filter(one -> !named.contains(one.id())).toList();
      if (!more.isEmpty()) {
        host.send(from, new OverrideMessage.Known(more, true));
      }
    }
  }

  private void ask(long now, String to, List<String> ids) {
    long number = random.nextLong();
    questions.put(number, new Question(to, now));
    if (questions.size() > MOST_QUESTIONS) {
      questions.remove(questions.keySet().iterator().next());
    }
    host.send(to, new OverrideMessage.Ask(number, List.copyOf(ids)));
  }

  private void answered(long now, String from, OverrideMessage.Answer answer) {
    Question question = questions.get(answer.number());
    if (question == null || !question.to().equals(from)) {
      return;
    }
    questions.remove(answer.number());
    for (ReplicaState one : answer.all()) {
      if (book.merge(now, one, question.at(), recovering ? now - startedAt : Long.MAX_VALUE)
          == OverrideTable.UpdateResult.NEW) {
        changed(now, one.id());
      }
    }
  }
}
