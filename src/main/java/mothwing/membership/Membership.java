package mothwing.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import mothwing.broker.Scheduler;
import mothwing.membership.MembershipEvent.Type;
import mothwing.membership.MembershipMessage.Kind;

/**
 * One member's part in the membership: it probes others, tells what it knows, objects where it is
 * taken for dead, and holds a view (docs/membership.md). Pure: time, random numbers and messages
 * come from outside, and only the monotonic clock counts.
 */
public final class Membership {
  private static final long FIRST_RETRY = 200_000;
  private static final long LAST_RETRY = 5_000_000;
  private static final long HASH = 0x9E3779B97F4A7C15L;
  private static final int HUNDRED = 100;
  private static final long BURST = 20_000;
  private static final int FANOUT = 2;

  /** What is held of another member. */
  private static final class Entry {
    MemberRecord claim;
    long place;
    Set<String> accusers = new HashSet<>();
    long suspectedAt;
    long buriedAt;
    Probe probe;

    Entry(MemberRecord claim) {
      this.claim = claim;
      place = place(claim.name());
    }
  }

  /** A probe under way, of one's own or for another. */
  private static final class Probe {
    final long seq;
    final Entry target;
    final MemberRecord asker;
    final long askerSeq;
    int nacks;
    int asked;

    Probe(long seq, Entry target, MemberRecord asker, long askerSeq) {
      this.seq = seq;
      this.target = target;
      this.asker = asker;
      this.askerSeq = askerSeq;
    }
  }

  private final String cluster;
  private final FailureDetectorSettings pace;
  private final List<String> seeds;
  private final Scheduler timers;
  private final Random random;
  private final MembershipHost host;
  private final TreeMap<String, Entry> others = new TreeMap<>();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final GossipQueue rumours = new GossipQueue();
  private final FlapDetector flaps = new FlapDetector();
  private final LinkedHashMap<String, Long> heard = new LinkedHashMap<>();
  private final List<Long> deaths = new ArrayList<>();
  private final Set<Long> rivals = new HashSet<>(); // questions to other processes of one's name
  private final Set<Long> challenged = new HashSet<>(); // their starts
  private List<Entry> ring = List.of();
  private int living; // others that are there
  private List<Entry> round = new ArrayList<>();
  private MemberRecord me;
  private boolean joined;
  private boolean silent;
  private boolean alone;
  private long enoughAt;
  private long version;
  private long seq;
  private long beatDue;
  private long nextRandom;
  private long nextSync;
  private long nextMeeting;
  private long retry = FIRST_RETRY;
  private long nextBurst;
  private boolean urging;
  private int doubt;

  /**
   * Makes a member that has not started.
   *
   * @param cluster whose it is
   * @param self what it says of itself: its name, the id of this start, its address and its zone
   * @param seeds addresses of some that may be there; its own may be among them
   * @param pace how fast and how sure it is
   * @param timers the monotonic clock
   * @param random chooses whom to probe
   * @param host what it acts through
   */
  public Membership(
      String cluster,
      MemberRecord self,
      List<String> seeds,
      FailureDetectorSettings pace,
      Scheduler timers,
      Random random,
      MembershipHost host) {
    this.cluster = cluster;
    this.pace = pace;
    this.timers = timers;
    this.random = random;
    this.host = host;
    me = self;
    this.seeds = seeds.stream().filter(one -> !one.equals(self.address())).toList();
    seq = random.nextLong() >>> 1;
  }

  private static long place(String name) {
    long hash = 7;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * HASH;
      hash ^= hash >>> 29;
    }
    return hash;
  }

  /** Begins: asks the seeds who is there, and probes. */
  public void start() {
    long now = timers.now();
    enoughAt = now;
    nextRandom = now + pace.period();
    nextSync = now + pace.sync();
    joined = seeds.isEmpty();
    rumours.add(me);
    join();
    beatDue = now + (long) (pace.beat() * random.nextDouble());
    timers.schedule(beatDue, this::beat);
  }

  /** Withdraws: others take it for gone at once. It answers on until its process ends. */
  public void leave() {
    me =
        new MemberRecord(
            me.name(),
            me.start(),
            me.address(),
            me.zone(),
            me.incarnation() + 1,
            MemberState.LEFT,
            me.name());
    rumours.add(me);
    List<Entry> some = there();
    Collections.shuffle(some, random);
    some.stream()
        .limit(2L * pace.watched())
        .forEach(one -> send(Kind.PING, one.claim.address(), ++seq, "", List.of()));
  }

  /** What is held of all. */
  public MembershipView view() {
    TreeMap<String, MemberRecord> all = new TreeMap<>();
    others.forEach((name, one) -> all.put(name, one.claim));
    all.put(me.name(), me);
    return new MembershipView(version, Collections.unmodifiableSortedMap(all), flaps.all(), alone);
  }

  // joining

  /**
   * Asks a seed for all that it holds, again and again until one has answered, and while nobody is
   * heard.
   */
  private void join() {
    if (silent || seeds.isEmpty() || (joined && !alone)) {
      return;
    }
    host.stream(seeds.get(random.nextInt(seeds.size())), message(Kind.SYNC, ++seq, "", all()));
    retry = joined ? LAST_RETRY : Math.min(LAST_RETRY, 2 * retry);
    timers.schedule(timers.now() + (long) (retry * random.nextDouble()) + 1, this::join);
  }

  private List<MemberRecord> all() {
    List<MemberRecord> all = new ArrayList<>();
    others.values().forEach(one -> all.add(one.claim));
    return all;
  }

  // probing

  private void beat() {
    long now = timers.now();
    long late = now - beatDue;
    if (late > pace.beat()) { // it stood still itself: what it waited for is no evidence
      trust(2);
      probes.values().removeIf(one -> one.asker == null);
      others
          .values()
          .forEach(
              one -> {
                one.probe = null;
                one.suspectedAt += late;
              });
      enoughAt += late;
    }
    beatDue = now + pace.beat();
    timers.schedule(beatDue, this::beat);
    if (silent) {
      return;
    }
    for (Entry one : followers()) {
      probe(one);
    }
    if (now >= nextRandom) {
      nextRandom = now + pace.period();
      Entry some = nextOfRound();
      if (some != null) {
        probe(some);
      }
      meetDead();
    }
    if (now >= nextSync) {
      nextSync = now + pace.sync() * (1 + others.size() / HUNDRED);
      exchange();
    }
    bury(now);
    lookAlone(now);
  }

  /** Those that follow on the ring of hashed names. */
  private List<Entry> followers() {
    if (ring.isEmpty()) {
      List<Entry> sorted = there();
      sorted.sort(
          Comparator.comparingLong((Entry one) -> one.place)
              .thenComparing(one -> one.claim.name()));
      ring = sorted;
    }
    long mine = place(me.name());
    int low = 0;
    int high = ring.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (ring.get(middle).place <= mine) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    List<Entry> all = new ArrayList<>();
    for (int i = 0; i < Math.min(pace.watched(), ring.size()); i++) {
      all.add(ring.get((low + i) % ring.size()));
    }
    return all;
  }

  private List<Entry> there() {
    List<Entry> all = new ArrayList<>();
    for (Entry one : others.values()) {
      if (one.claim.state().isPresent()) {
        all.add(one);
      }
    }
    return all;
  }

  private Entry nextOfRound() {
    while (!round.isEmpty()) {
      Entry one = round.remove(round.size() - 1);
      if (one.claim.state().isPresent() && others.get(one.claim.name()) == one) {
        return one;
      }
    }
    round = there();
    Collections.shuffle(round, random);
    return round.isEmpty() ? null : round.remove(round.size() - 1);
  }

  /** Who was taken for dead may be behind a cut that has healed: it is told so, and objects. */
  private void meetDead() {
    List<Entry> dead = new ArrayList<>();
    for (Entry one : others.values()) {
      if (one.claim.state() == MemberState.DEAD) {
        dead.add(one);
      }
    }
    if (!dead.isEmpty()) {
      Entry one = dead.get(random.nextInt(dead.size()));
      send(Kind.PING, one.claim.address(), ++seq, "", List.of(one.claim));
    }
  }

  private void exchange() {
    List<Entry> able = there();
    if (!able.isEmpty()) {
      host.stream(
          able.get(random.nextInt(able.size())).claim.address(),
          message(Kind.SYNC, ++seq, "", all()));
    }
  }

  private void probe(Entry target) {
    if (target.probe != null) {
      return;
    }
    Probe probe = new Probe(++seq, target, null, 0);
    target.probe = probe;
    probes.put(probe.seq, probe);
    send(Kind.PING, target.claim.address(), probe.seq, "", suspicion(target));
    timers.schedule(timers.now() + pace.ackWait() * (1 + doubt), () -> askOthers(probe));
  }

  /** Whoever is suspected is told so with each probe, so that it can object. */
  private static List<MemberRecord> suspicion(Entry one) {
    return one.claim.state() == MemberState.ALIVE ? List.of() : List.of(one.claim);
  }

  private boolean waits(Probe probe) {
    return !silent && probes.get(probe.seq) == probe && probe.target.claim.state().isPresent();
  }

  private void askOthers(Probe probe) {
    if (!waits(probe)) {
      over(probe);
      return;
    }
    followers(); // makes the ring
    Set<Entry> asked = new HashSet<>(Set.of(probe.target));
    for (int i = 0;
        i < 2 * pace.helpers() && probe.asked < pace.helpers() && !ring.isEmpty();
        i++) {
      Entry helper = ring.get(random.nextInt(ring.size()));
      if (helper.claim.state() == MemberState.ALIVE && asked.add(helper)) {
        probe.asked++;
        send(Kind.ASK, helper.claim.address(), probe.seq, probe.target.claim.name(), List.of());
      }
    }
    host.stream(
        probe.target.claim.address(), message(Kind.PING, probe.seq, "", suspicion(probe.target)));
    timers.schedule(timers.now() + pace.askWait() * (1 + doubt), () -> concluded(probe));
  }

  private void concluded(Probe probe) {
    boolean waits = waits(probe);
    over(probe);
    if (waits) {
      trust(probe.asked > 0 && probe.nacks == 0 ? 1 : 0); // not even helpers answer: it may be me
      accuse(probe.target);
    }
  }

  private void over(Probe probe) {
    probes.remove(probe.seq, probe);
    if (probe.target.probe == probe) {
      probe.target.probe = null;
    }
  }

  private void trust(int less) {
    doubt = Math.max(0, Math.min(pace.doubt(), doubt + less));
  }

  // suspicion and death

  private void accuse(Entry one) {
    boolean first = one.claim.state() == MemberState.ALIVE;
    if (first) {
      one.claim = one.claim.with(MemberState.SUSPECT, me.name());
      one.accusers = new HashSet<>();
      one.suspectedAt = timers.now();
      change(Type.SUSPECTED, one.claim);
    }
    if (one.accusers.add(me.name())) {
      rumours.add(one.claim.with(MemberState.SUSPECT, me.name()));
      send(Kind.PING, one.claim.address(), ++seq, "", List.of(one.claim));
      one.suspectedAt =
          first ? one.suspectedAt : Math.max(one.suspectedAt, timers.now() - pace.least());
      awaitDeath(one);
    }
  }

  /**
   * From the accusation to the death: shorter the more others accuse, longer the less one trusts
   * oneself.
   */
  private long patience(Entry one) {
    if (!one.accusers.contains(me.name())) {
      return (long) (pace.most() * pace.hearsay());
    }
    double agreed = Math.min(1, Math.log(one.accusers.size()) / Math.log(pace.enough() + 1));
    long agreedPatience = (long) (pace.most() - (pace.most() - pace.least()) * agreed);
    return agreedPatience * (1 + doubt);
  }

  private void awaitDeath(Entry one) {
    MemberRecord accused = one.claim;
    long due = one.suspectedAt + patience(one);
    timers.schedule(
        due,
        () -> {
          if (silent
              || one.claim.state() != MemberState.SUSPECT
              || one.claim.incarnation() != accused.incarnation()) {
            return;
          }
          long now = timers.now();
          if (one.suspectedAt + patience(one) > now) {
            awaitDeath(one);
          } else if (panics(one, now)) {
            timers.schedule(now + pace.beat(), () -> awaitDeath(one));
          } else {
            apply(one.claim.with(MemberState.DEAD, me.name()));
          }
        });
  }

  /**
   * Where many fall silent at once the fault is likely near: nobody dies until it has held for
   * longer.
   */
  private boolean panics(Entry one, long now) {
    deaths.removeIf(at -> at < now - pace.panicHold());
    int due = 0;
    for (Entry each : others.values()) {
      due += each.claim.state() == MemberState.SUSPECT ? 1 : 0;
    }
    int all = living + 1 + deaths.size();
    boolean many = due + deaths.size() > Math.max(2, pace.panic() * all);
    if (!many || now - one.suspectedAt > patience(one) + pace.panicHold()) {
      deaths.add(now);
      return false;
    }
    return true;
  }

  private void bury(long now) {
    for (String name : flaps.steadied(now)) {
      Entry one = others.get(name);
      if (one != null) {
        change(Type.STEADIED, one.claim);
      }
    }
    others
        .values()
        .removeIf(one -> !one.claim.state().isPresent() && now - one.buriedAt > pace.tombstone());
  }

  private void lookAlone(long now) {
    heard.values().removeIf(at -> at < now - pace.aloneAfter());
    int expected = Math.min(2 * pace.watched(), Math.max(others.size(), seeds.isEmpty() ? 0 : 1));
    if (2 * heard.size() >= expected) {
      enoughAt = now;
    }
    boolean was = alone;
    alone = now - enoughAt > pace.aloneAfter();
    if (alone != was) {
      change(alone ? Type.ALONE : Type.CONNECTED, me);
      join();
    }
  }

  // messages

  private MembershipMessage message(
      Kind kind, long number, String about, List<MemberRecord> claims) {
    return new MembershipMessage(cluster, kind, number, about, me, claims);
  }

  /** A datagram, filled up with what is still to be told. */
  private void send(
      Kind kind, String address, long number, String about, List<MemberRecord> first) {
    MembershipMessage bare = message(kind, number, about, first);
    List<MemberRecord> claims = new ArrayList<>(first);
    int enough =
        (int) Math.ceil(pace.resend() * (Integer.SIZE - Integer.numberOfLeadingZeros(living + 2)));
    claims.addAll(rumours.take(pace.packet() - bare.bytes(), enough));
    host.send(address, message(kind, number, about, claims));
  }

  /**
   * Takes a message, however it came.
   *
   * @param message what came
   */
  public void received(MembershipMessage message) {
    MemberRecord from = message.self();
    if (silent || !message.cluster().equals(cluster)) {
      return;
    }
    if (from.name().equals(me.name())) {
      if (from.start() != me.start()) {
        rival(message);
      }
      return;
    }
    apply(from);
    message.claims().forEach(this::apply);
    if (silent) {
      return;
    }
    Entry sender = others.get(from.name());
    heard.remove(from.name());
    heard.put(from.name(), timers.now());
    List<MemberRecord> back = sender == null ? List.of() : suspicion(sender);
    switch (message.kind()) {
      case PING -> send(Kind.ACK, from.address(), message.seq(), "", back);
      case ASK -> help(message);
      case ACK -> answered(message.seq());
      case NACK -> {
        Probe probe = probes.get(message.seq());
        if (probe != null) {
          probe.nacks++;
        }
      }
      case SYNC -> host.stream(from.address(), message(Kind.SYNCED, message.seq(), "", all()));
      case SYNCED -> joined = true;
      default -> {}
    }
  }

  private void answered(long number) {
    Probe probe = probes.get(number);
    if (probe == null) {
      return; // late, or repeated
    }
    if (probe.asker != null) {
      probes.remove(number);
      send(Kind.ACK, probe.asker.address(), probe.askerSeq, "", List.of(probe.target.claim));
    } else {
      trust(-1);
      over(probe);
    }
  }

  private void help(MembershipMessage message) {
    Entry target = others.get(message.about());
    if (target == null) {
      return;
    }
    Probe probe = new Probe(++seq, target, message.self(), message.seq());
    probes.put(probe.seq, probe);
    send(Kind.PING, target.claim.address(), probe.seq, "", suspicion(target));
    timers.schedule(
        timers.now() + pace.askWait() / 2,
        () -> {
          if (probes.remove(probe.seq, probe) && !silent) {
            send(Kind.NACK, probe.asker.address(), probe.askerSeq, "", List.of());
          }
        });
  }

  // claims

  private void apply(MemberRecord claim) {
    if (claim.name().equals(me.name())) {
      aboutMe(claim);
      return;
    }
    Entry one = others.get(claim.name());
    if (one == null) {
      one = new Entry(claim);
      others.put(claim.name(), one);
      entered(one, null);
    } else if (claim.supersedes(one.claim)) {
      MemberRecord before = one.claim;
      one.claim = claim;
      entered(one, before);
    } else if (claim.state() == MemberState.SUSPECT
        && one.claim.state() == MemberState.SUSPECT
        && claim.incarnation() == one.claim.incarnation()
        && one.accusers.size() <= pace.enough()
        && one.accusers.add(claim.reportedBy())) {
      rumours.add(claim); // one accuser more is news
      awaitDeath(one);
    }
  }

  /** A claim holds from now on: it is told on, and changes the view. */
  private void entered(Entry one, MemberRecord before) {
    MemberRecord now = one.claim;
    rumours.add(now);
    boolean was = before != null && before.state().isPresent();
    if (was != now.state().isPresent()) {
      living += was ? -1 : 1;
      ring = List.of();
      one.probe = null;
    }
    switch (now.state()) {
      case ALIVE -> {
        one.accusers = new HashSet<>();
        if (!was) {
          change(Type.JOINED, now);
          meet(one, before);
        } else if (before.state() == MemberState.SUSPECT) {
          change(Type.CLEARED, now);
          urge();
        }
      }
      case SUSPECT -> {
        one.accusers = new HashSet<>(Set.of(now.reportedBy()));
        one.suspectedAt = timers.now();
        change(Type.SUSPECTED, now);
        awaitDeath(one);
      }
      default -> {
        one.buriedAt = timers.now();
        if (was) {
          change(now.state() == MemberState.DEAD ? Type.DIED : Type.LEFT, now);
          if (now.state() == MemberState.DEAD && flaps.died(now.name(), timers.now())) {
            change(Type.FLAPS, now);
          }
          urge();
        }
      }
    }
  }

  /**
   * What is urgent is told to two others at once, and by them to two more: with many at a time it
   * goes in bursts.
   */
  private void urge() {
    if (urging) {
      return;
    }
    urging = true;
    timers.schedule(
        Math.max(timers.now(), nextBurst),
        () -> {
          urging = false;
          nextBurst = timers.now() + BURST;
          for (int i = 0; i < FANOUT && !silent && !followers().isEmpty(); i++) {
            send(
                Kind.PING,
                ring.get(random.nextInt(ring.size())).claim.address(),
                ++seq,
                "",
                List.of());
          }
        });
  }

  /**
   * Who comes back from the dead may bring a whole other side: views are exchanged, at most once a
   * second.
   */
  private void meet(Entry one, MemberRecord before) {
    // Of all that see it come back a few do so: each alone would be a storm on whoever is back.
    if (before != null
        && timers.now() >= nextMeeting
        && random.nextInt(Math.max(1, living)) < pace.watched()) {
      nextMeeting = timers.now() + pace.period();
      host.stream(one.claim.address(), message(Kind.SYNC, ++seq, "", all()));
    }
  }

  /** Objects to what is said of oneself, or gives way to another process of the same name. */
  private void aboutMe(MemberRecord claim) {
    if (claim.start() == me.start()) {
      if (claim.state() != MemberState.ALIVE
          && me.state() != MemberState.LEFT
          && claim.incarnation() >= me.incarnation()) {
        trust(1);
        raise(claim.incarnation() + 1);
      }
    } else if (claim.incarnation() < me.incarnation()) {
      rumours.add(me);
    } else if (!joined || !claim.state().isPresent() || claim.address().equals(me.address())) {
      raise(claim.incarnation() + 1); // a start before this one: its name is taken over
    } else if (challenged.add(claim.start())) {
      challenge(claim);
    }
  }

  /**
   * Hearsay of another process of one's name may be of one long gone: it is asked, and holds
   * nothing if it is silent.
   */
  private void challenge(MemberRecord claim) {
    long number = ++seq;
    rivals.add(number);
    send(Kind.PING, claim.address(), number, "", List.of());
    timers.schedule(
        timers.now() + pace.ackWait() + pace.askWait(),
        () -> {
          challenged.remove(claim.start());
          if (rivals.remove(number) && !silent && claim.incarnation() >= me.incarnation()) {
            raise(claim.incarnation() + 1);
          }
        });
  }

  /**
   * Another process of one's name speaks: the one with the higher incarnation stays, or of equal
   * ones the higher start.
   */
  private void rival(MembershipMessage message) {
    MemberRecord other = message.self();
    if (message.kind() == Kind.PING) {
      send(Kind.ACK, other.address(), message.seq(), "", List.of());
    }
    if (message.kind() != Kind.ACK || !rivals.remove(message.seq())) {
      aboutMe(
          other); // it may be an old message: only an answer to a question of mine shows that it
      // lives
    } else if (other.incarnation() > me.incarnation()
        || (other.incarnation() == me.incarnation() && other.start() > me.start())) {
      silent = true;
      change(Type.DISPLACED, other);
    } else {
      raise(Math.max(me.incarnation(), other.incarnation()) + 1);
    }
  }

  private void raise(long to) {
    me = me.withIncarnation(to);
    rumours.add(me);
  }

  private void change(Type what, MemberRecord claim) {
    host.changed(new MembershipEvent(++version, what, claim));
  }
}
