package mothwing.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import mothwing.override.AntiEntropy;
import mothwing.override.OverrideHost;
import mothwing.override.OverrideLimits;
import mothwing.override.OverrideMessage;
import mothwing.override.OverrideStatus;
import mothwing.override.OverrideTable;
import mothwing.override.ReplicaState;
import mothwing.override.TrafficOverride;
import mothwing.override.Version;

/**
 * Servers that share overrides, on virtual time: clocks that run fast or slow and begin anywhere,
 * disks that forget what was not forced, machines that stand still and lose power, and a network
 * that loses, delays, doubles and replays. What it says of them it takes from when overrides were
 * made in truth, and from what each server does.
 */
final class SimulatedOverrideNetwork {
  /** How a machine or the network is tampered with, to see that it is noticed. */
  enum Planted {
    /** Nothing is. */
    NONE,
    /** What a disk has counts as sure, with the age it had. */
    AGES_TRUSTED_OFF_DISK,
    /** Answers that nobody waits for are taken, with the age they carry. */
    PUSHED_AGES_TAKEN,
    /** What is over is not kept on disk. */
    TOMBSTONES_DROPPED,
    /** What is unsure is told as sure. */
    UNSURE_HANDED_ON,
    /** A start has the number of the one before. */
    STARTS_NOT_FORCED,
    /** What acts is looked at when something is heard, not when it is to be decided. */
    EVENTS_AS_EDGES
  }

  private static final long MILLI = 1000;
  private static final long SECOND = 1_000_000;
  private static final long TURN = 50 * MILLI; // between turns of a loop
  private static final long FORCE = 5 * MILLI;
  private static final long RECOVERING = 8 * SECOND;
  private static final long EARLY =
      6 * SECOND; // the round trips of what travelled in trouble: it may end so much before
  private static final long AGREED = 12 * SECOND; // some digests to each of four others
  private static final long GRACE = 1; // microsecond, of rounding

  private record Truth(TrafficOverride value, long madeAt) {}

  /** A machine: what is forced on its disk outlasts its power. */
  final class Node extends VirtualMachine {
    final String name;
    final double rate;
    final long skew;
    final Map<String, ReplicaState> disk = new TreeMap<>();
    long starts;
    OverrideTable book;
    AntiEntropy sharing;
    long startedAt;
    List<TrafficOverride> applied = List.of();

    private Node(String name, double rate, long skew) {
      super(time);
      this.name = name;
      this.rate = rate;
      this.skew = skew;
    }

    long clock() {
      return skew + (long) (time.now() * rate);
    }

    void start() {
      int mine = begin();
      starts += planted == Planted.STARTS_NOT_FORCED && starts > 0 ? 0 : 1;
      startedAt = time.now();
      book = new OverrideTable(OverrideLimits.DEFAULTS);
      boolean knows = !disk.isEmpty() || starts > 1;
      sharing =
          new AntiEntropy(
              name,
              starts,
              book,
              clock(),
              knows,
              new Random(random.nextLong()),
              new Wires(this, mine));
      if (planted == Planted.AGES_TRUSTED_OFF_DISK) {
        disk.values().forEach(one -> book.merge(clock(), one, clock(), 0));
      } else {
        book.load(clock(), disk.values());
      }
      applied = book.inEffect(clock());
      time.schedule(time.now() + RECOVERING, () -> run(mine, () -> sharing.endRecovery()));
      turn(mine);
    }

    private void turn(int mine) {
      time.schedule(
          time.now() + TURN,
          () ->
              run(
                  mine,
                  () -> {
                    sharing.tick(clock());
                    for (ReplicaState one : book.replicaStates(clock())) {
                      if (one.value() != null && random.nextInt(20) == 0) {
                        save(one); // the checkpoint of its age
                      }
                    }
                    turn(mine);
                  }));
    }

    private void save(ReplicaState written) {
      saves++;
      ReplicaState one = pen == null ? written : pen.writes(saves, written, disk.get(written.id()));
      if (one == null) {
        disk.remove(written.id());
      } else if (planted == Planted.TOMBSTONES_DROPPED && one.value() == null) {
        disk.remove(one.id());
      } else {
        disk.put(one.id(), one);
      }
    }

    /** What it decides by now, as its first request after whatever befell it would see it. */
    List<TrafficOverride> acting() {
      return planted == Planted.EVENTS_AS_EDGES ? applied : book.inEffect(clock());
    }
  }

  private final class Wires implements OverrideHost {
    private final Node node;
    private final int mine;

    Wires(Node node, int mine) {
      this.node = node;
      this.mine = mine;
    }

    @Override
    public void send(String to, OverrideMessage message) {
      carry(node.name, to, message);
    }

    @Override
    public List<String> peers() {
      return nodes.values().stream().filter(one -> one != node).map(one -> one.name).toList();
    }

    @Override
    public void persist(ReplicaState told) {
      time.schedule(
          time.now() + FORCE,
          () ->
              node.run(
                  mine,
                  () -> {
                    node.save(told);
                    if (told.status() == OverrideStatus.REVOKED) {
                      revokedAt.putIfAbsent(
                          told.id(), time.now()); // from now on a caller may hold a YES
                    }
                    node.sharing.onPersisted(node.clock(), told);
                  }));
    }

    @Override
    public void onChange() {
      node.applied = node.book == null ? List.of() : node.book.inEffect(node.clock());
    }
  }

  final VirtualTime time = new VirtualTime();
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<String> broken = new ArrayList<>();
  long messages;

  /** The longest that something sure acted past its end, in microseconds; below 0 for before it. */
  long worst = Long.MIN_VALUE;

  private final Random random;
  private final Planted planted;
  private final Map<Version, Truth> truths = new LinkedHashMap<>();
  private final Map<String, Long> revokedAt = new LinkedHashMap<>();
  private final List<Runnable> late = new ArrayList<>();
  private double loss;
  private long delay;
  private String cut = "";
  private Tamper tamper;
  private Pen pen;

  /** Records that were written, on all disks together. */
  long saves;

  /** What each server went by, whenever that had changed: the outcome, in one text. */
  final StringBuilder outcome = new StringBuilder();

  private final Map<String, String> went = new LinkedHashMap<>();
  private long stamps;

  SimulatedOverrideNetwork(int count, long seed, Planted planted) {
    random = new Random(seed);
    this.planted = planted;
    for (int i = 0; i < count; i++) {
      String name = "n" + i;
      nodes.put(
          name,
          new Node(
              name,
              1 + (random.nextDouble() * 2 - 1) * OverrideLimits.DEFAULTS.maxClockDriftRatio() / 2,
              random.nextInt(1_000_000_000)));
    }
    nodes.values().forEach(Node::start);
  }

  private boolean parted(String one, String other) {
    return cut.contains(one + ";") != cut.contains(other + ";");
  }

  /** What befalls one message: it is passed on as it says, or not at all. */
  interface Tamper {
    /**
     * The message of this number, the first being 1; what is to be delivered goes to the way, after
     * so long.
     */
    void carry(long number, String from, String to, OverrideMessage message, Way way);
  }

  /** A way for a message to arrive. */
  interface Way {
    /** It arrives as from this sender, after so many microseconds. */
    void arrives(String from, OverrideMessage message, long after);
  }

  /** What a disk makes of one record that it says to be forced. */
  interface Pen {
    /** What stands there, the first record of all having number 1; null for nothing. */
    ReplicaState writes(long number, ReplicaState record, ReplicaState before);
  }

  /** From now on each record goes by way of this. */
  void write(Pen with) {
    pen = with;
  }

  private void carry(String from, String to, OverrideMessage message) {
    messages++;
    if (tamper != null) {
      long usual = 200L + random.nextInt(800);
      if (!parted(from, to)) {
        tamper.carry(
            messages,
            from,
            to,
            message,
            (sender, what, after) ->
                time.schedule(time.now() + usual + after, () -> deliver(sender, to, what)));
      }
      return;
    }
    if (random.nextDouble() < loss || parted(from, to)) {
      return;
    }
    OverrideMessage sent =
        planted == Planted.UNSURE_HANDED_ON && message instanceof OverrideMessage.Response answer
            ? sure(answer)
            : message;
    int copies = random.nextDouble() < 0.05 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long way =
          200
              + random.nextInt(800)
              + (random.nextInt(20) == 0 ? (long) (random.nextDouble() * delay) : 0);
      time.schedule(time.now() + way, () -> deliver(from, to, sent));
    }
    if (random.nextInt(30) == 0) { // kept by the network, for whenever
      late.add(() -> deliver(from, to, sent));
    }
  }

  private static OverrideMessage sure(OverrideMessage.Response answer) {
    return new OverrideMessage.Response(
        answer.number(),
        answer.states().stream()
            .map(
                one ->
                    one.status() != OverrideStatus.UNCONFIRMED
                        ? one
                        : new ReplicaState(
                            one.id(), one.version(), OverrideStatus.ACTIVE, one.age(), one.value()))
            .toList());
  }

  private void deliver(String from, String to, OverrideMessage message) {
    Node node = nodes.get(to);
    node.run(
        node.starts(),
        () -> {
          if (planted == Planted.PUSHED_AGES_TAKEN
              && message instanceof OverrideMessage.Response answer) {
            answer
                .states()
                .forEach(one -> node.book.merge(node.clock(), one, node.clock(), Long.MAX_VALUE));
          }
          node.sharing.receive(node.clock(), from, message);
        });
  }

  // what befalls them

  /** From now on each message goes by way of this, and the network does nothing else to it. */
  void tamper(Tamper with) {
    tamper = with;
  }

  void loss(double share, long longest) {
    loss = share;
    delay = longest;
  }

  /** Cuts these off from the others; none for no cut. */
  void cut(List<String> names) {
    cut = names.isEmpty() ? "" : String.join(";", names) + ";";
  }

  /** Everything that the network kept arrives now. */
  void replay() {
    List<Runnable> all = List.copyOf(late);
    late.clear();
    all.forEach(Runnable::run);
  }

  void make(String at, String id, int seconds, boolean keep) {
    Node node = nodes.get(at);
    if (!node.running() || node.standsStill()) {
      return;
    }
    TrafficOverride value =
        new TrafficOverride(
            id,
            node.sharing.nextVersion(),
            TrafficOverride.Action.REFUSE,
            "stock-check",
            "",
            1,
            "",
            TrafficOverride.Selector.ALL,
            seconds,
            0,
            keep,
            "drawn " + ++stamps,
            "trial");
    if (node.sharing.create(node.clock(), value) == OverrideTable.UpdateResult.APPLIED) {
      Truth other = truths.put(value.version(), new Truth(value, time.now()));
      if (other != null) {
        breach(at + " gives a stamp twice: " + value.version());
      }
    }
  }

  void revoke(String at, String id) {
    Node node = nodes.get(at);
    if (node.running() && !node.standsStill()) {
      node.sharing.revoke(node.clock(), id);
    }
  }

  void power(String at, boolean on) {
    Node node = nodes.get(at);
    if (on && !node.running()) {
      node.start();
    } else if (!on && node.running()) {
      node.end();
    }
  }

  void still(String at, boolean now) {
    Node node = nodes.get(at);
    if (node.running()) {
      node.still(now);
      look(node); // the first request after it wakes
    }
  }

  // the oracle

  private void breach(String what) {
    if (broken.size() < 5) {
      broken.add(time.now() / MILLI + " ms: " + what);
    }
  }

  private void look(Node node) {
    if (!node.running() || node.standsStill()) {
      return;
    }
    List<TrafficOverride> acting = node.acting();
    String ids = acting.stream().map(TrafficOverride::id).toList().toString();
    if (!ids.equals(went.put(node.name, ids))) {
      outcome.append(time.now() / SECOND).append(node.name).append(ids);
    }
    for (TrafficOverride one : acting) {
      Truth truth = truths.get(one.version());
      ReplicaState told = node.book.replicaState(node.clock(), one.id());
      boolean unsure = told != null && told.status() == OverrideStatus.UNCONFIRMED;
      if (truth == null) {
        breach(node.name + " goes by what nobody made: " + one.id());
        continue;
      }
      long past = time.now() - truth.madeAt() - one.ttlMicros();
      if (!unsure) {
        worst = Math.max(worst, past);
      }
      if (past > GRACE && !unsure) {
        breach(node.name + " goes by " + one.id() + " " + past / MILLI + " ms past its end");
      } else if (unsure && !one.keepUnconfirmed()) {
        breach(node.name + " goes by " + one.id() + ", which is unsure and to be dropped");
      } else if (unsure && time.now() - node.startedAt > one.ttlMicros() + SECOND) {
        breach(node.name + " goes by " + one.id() + " longer than its life in this start");
      }
    }
  }

  /** Lets time pass, and looks all the while. */
  void pass(long micros) {
    long end = time.now() + micros;
    while (time.now() < end) {
      time.until(Math.min(end, time.now() + TURN));
      nodes.values().forEach(this::look);
    }
  }

  private long left(ReplicaState one) {
    Truth truth = truths.get(one.version());
    return truth == null ? Long.MAX_VALUE : truth.madeAt() + one.value().ttlMicros() - time.now();
  }

  private Map<String, String> sure(Node node) {
    Map<String, String> sure = new TreeMap<>();
    for (ReplicaState one : node.book.replicaStates(node.clock())) {
      if (one.status() == OverrideStatus.ACTIVE && left(one) > EARLY) {
        sure.put(one.id(), one.version().toString());
      }
    }
    return sure;
  }

  /**
   * After the last fault: within a stated time all that run know the same surely, and what was
   * taken back acts nowhere.
   */
  void agree() {
    List<Node> up = nodes.values().stream().filter(Node::running).toList();
    long by = time.now() + AGREED;
    while (time.now() < by && up.stream().map(this::sure).distinct().count() > 1) {
      pass(SECOND); // something ends just now
    }
    for (Node node : up) {
      if (!sure(node).equals(sure(up.get(0)))) {
        breach(
            node.name + " has " + sure(node) + ", " + up.get(0).name + " has " + sure(up.get(0)));
      }
      for (TrafficOverride one : node.acting()) {
        ReplicaState told = node.book.replicaState(node.clock(), one.id());
        Long revoked = revokedAt.get(one.id());
        if (revoked != null
            && truths.get(one.version()).madeAt() < revoked
            && told.status() == OverrideStatus.ACTIVE) {
          breach(node.name + " goes by " + one.id() + ", which was taken back");
        }
      }
    }
  }
}
