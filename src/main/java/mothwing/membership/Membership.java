package mothwing.membership;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import mothwing.broker.Scheduler;
import mothwing.membership.MembershipMessage.Kind;

/**
 * One member of a cluster: connects failure detector, suspicion, dissemination and anti-entropy,
 * and maintains the resulting view. To be called on the thread of its scheduler only; it depends on
 * the monotonic clock alone.
 */
public final class Membership {
  private static final int MEMBERS_PER_SYNC_INTERVAL = 100;
  private static final int PAUSE_HEALTH_STEPS = 2;

  private final LocalMember self;
  private final FailureDetectorSettings settings;
  private final MemberTable members = new MemberTable();
  private final ProbeRing ring;
  private final Dissemination dissemination;
  private final LocalHealth health;
  private final SuspicionTable suspicions;
  private final FailureDetector detector;
  private final AntiEntropyExchange antiEntropy;
  private final IsolationDetector isolation;
  private final NameConflicts nameConflicts;
  private final FlapDetector flaps = new FlapDetector();
  private long tickDueMicros;
  private long nextRandomProbeMicros;
  private long nextAntiEntropyMicros;

  /**
   * Creates a member that has not started.
   *
   * @param cluster the name of its cluster; messages of other clusters are ignored
   * @param self its own record, with a random instance id of this process
   * @param seeds addresses of members to join through; its own may be among them
   * @param settings intervals and limits of the protocol
   * @param scheduler the monotonic clock, and delayed work
   * @param random chooses members to contact, and delays
   * @param host sends messages and receives events
   */
  public Membership(
      String cluster,
      MemberRecord self,
      List<String> seeds,
      FailureDetectorSettings settings,
      Scheduler scheduler,
      Random random,
      MembershipHost host) {
    this.settings = settings;
    this.self = new LocalMember(cluster, self, settings, scheduler, random, host);
    ring = new ProbeRing(members, this.self);
    dissemination = new Dissemination(this.self, members, ring);
    health = new LocalHealth(settings.maxLocalHealthScore());
    suspicions = new SuspicionTable(this.self, members, dissemination, health, this::merge);
    detector = new FailureDetector(this.self, ring, dissemination, suspicions, health);
    List<String> others = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
    antiEntropy = new AntiEntropyExchange(this.self, members, dissemination, others);
    isolation = new IsolationDetector(this.self, members, antiEntropy.hasSeeds());
    nameConflicts = new NameConflicts(this.self, dissemination, health, antiEntropy::isJoined);
  }

  /** Joins through the seeds, and starts to probe. */
  public void start() {
    long now = self.now();
    isolation.start(now);
    nextRandomProbeMicros = now + settings.randomProbeIntervalMicros();
    nextAntiEntropyMicros = now + settings.antiEntropyIntervalMicros();
    dissemination.enqueue(self.record());
    antiEntropy.join(isolation);
    tickDueMicros = now + (long) (settings.probeIntervalMicros() * self.random().nextDouble());
    self.schedule(tickDueMicros, this::tick);
  }

  /** Announces that this member leaves. It still answers messages afterwards. */
  public void leave() {
    MemberRecord own = self.record();
    self.setRecord(
        own.withState(MemberState.LEFT, own.name()).withIncarnation(own.incarnation() + 1));
    dissemination.enqueue(self.record());
    List<Member> receivers = members.present();
    Collections.shuffle(receivers, self.random());
    receivers.stream()
        .limit(2L * settings.ringSuccessors())
        .forEach(member -> dissemination.sendUnawaitedPing(member.address(), List.of()));
  }

  /** The current view of all members, including this one. */
  public MembershipView view() {
    TreeMap<String, MemberRecord> records = new TreeMap<>();
    members.all().forEach(member -> records.put(member.name(), member.record()));
    records.put(self.name(), self.record());
    return new MembershipView(
        self.viewVersion(),
        Collections.unmodifiableSortedMap(records),
        flaps.flappingMembers(),
        isolation.isIsolated());
  }

  private void tick() {
    long now = self.now();
    compensateForPause(now - tickDueMicros);
    tickDueMicros = now + settings.probeIntervalMicros();
    self.schedule(tickDueMicros, this::tick);
    if (self.isDisplaced()) {
      return;
    }
    detector.probeRing();
    if (now >= nextRandomProbeMicros) {
      nextRandomProbeMicros = now + settings.randomProbeIntervalMicros();
      detector.probeNextShuffled();
      antiEntropy.contactDeadMember();
    }
    if (now >= nextAntiEntropyMicros) {
      int intervals = 1 + members.size() / MEMBERS_PER_SYNC_INTERVAL;
      nextAntiEntropyMicros = now + settings.antiEntropyIntervalMicros() * intervals;
      antiEntropy.exchangeWithRandom();
    }
    expire(now);
    updateIsolation(now);
  }

  /**
   * After a pause of this process, drops its probes, extends its timeouts and degrades its local
   * health: acknowledgements that it missed are no evidence against other members.
   */
  private void compensateForPause(long lateMicros) {
    if (lateMicros <= settings.probeIntervalMicros()) {
      return;
    }
    health.degrade(PAUSE_HEALTH_STEPS);
    detector.abandonOwnProbes(members);
    suspicions.postponeAll(lateMicros);
    isolation.excludePause(lateMicros);
  }

  private void expire(long now) {
    for (String name : flaps.takeStabilized(now)) {
      Member member = members.find(name);
      if (member != null) {
        self.publish(MembershipEvent.Type.STABLE, member.record());
      }
    }
    members.expireTombstones(now, settings.tombstoneMicros());
  }

  private void updateIsolation(long now) {
    if (isolation.update(now)) {
      self.publish(
          isolation.isIsolated() ? MembershipEvent.Type.ISOLATED : MembershipEvent.Type.CONNECTED,
          self.record());
      antiEntropy.join(isolation);
    }
  }

  /**
   * Handles a message, received as a datagram or on a stream.
   *
   * @param message the message; one of another cluster is ignored
   */
  public void receive(MembershipMessage message) {
    MemberRecord sender = message.sender();
    if (self.isDisplaced() || !message.cluster().equals(self.cluster())) {
      return;
    }
    if (sender.name().equals(self.name())) {
      if (sender.instanceId() != self.record().instanceId()) {
        nameConflicts.onMessage(message);
      }
      return;
    }
    merge(sender);
    message.records().forEach(this::merge);
    isolation.recordMessageFrom(sender.name());
    dispatch(message);
  }

  private void dispatch(MembershipMessage message) {
    switch (message.kind()) {
      case PING -> acknowledge(message);
      case PING_REQUEST -> {
        Member target = members.find(message.pingTarget());
        if (target != null) {
          detector.onPingRequest(message, target);
        }
      }
      case ACK -> detector.onAck(message.sequence());
      case NACK -> detector.onNack(message.sequence());
      case SYNC_REQUEST -> antiEntropy.respond(message);
      case SYNC_RESPONSE -> antiEntropy.onResponse();
    }
  }

  private void acknowledge(MembershipMessage ping) {
    Member sender = members.find(ping.sender().name());
    dissemination.send(Kind.ACK, ping.sender().address(), ping.sequence(), sender.recordToRefute());
  }

  private void merge(MemberRecord record) {
    if (record.name().equals(self.name())) {
      nameConflicts.onRecord(record);
      return;
    }
    Member member = members.find(record.name());
    if (member == null) {
      accept(members.add(record), Optional.empty());
    } else if (record.supersedes(member.record())) {
      MemberState previous = member.state();
      member.setRecord(record);
      accept(member, Optional.of(previous));
    } else {
      suspicions.confirm(member, record);
    }
  }

  /** Gossips the new record of a member, and applies the change of state that it brings. */
  private void accept(Member member, Optional<MemberState> previous) {
    dissemination.enqueue(member.record());
    boolean wasPresent = previous.filter(MemberState::isPresent).isPresent();
    if (wasPresent != member.isPresent()) {
      members.countPresence(member.isPresent());
      ring.invalidate();
      member.clearOutstandingProbe();
    }
    switch (member.state()) {
      case ALIVE -> onAlive(member, previous, wasPresent);
      case SUSPECT -> suspicions.adopt(member);
      case DEAD, LEFT -> onRemoved(member, wasPresent);
    }
  }

  private void onAlive(Member member, Optional<MemberState> previous, boolean wasPresent) {
    if (!wasPresent) {
      self.publish(MembershipEvent.Type.JOINED, member.record());
      if (previous.isPresent()) {
        antiEntropy.exchangeWithReturned(member);
      }
    } else if (previous.get() == MemberState.SUSPECT) {
      self.publish(MembershipEvent.Type.REFUTED, member.record());
      dissemination.pushSoon();
    }
  }

  private void onRemoved(Member member, boolean wasPresent) {
    member.markRemoved(self.now());
    if (!wasPresent) {
      return;
    }
    boolean dead = member.state() == MemberState.DEAD;
    self.publish(
        dead ? MembershipEvent.Type.DECLARED_DEAD : MembershipEvent.Type.LEFT, member.record());
    if (dead && flaps.recordDeath(member.name(), self.now())) {
      self.publish(MembershipEvent.Type.FLAPPING, member.record());
    }
    dissemination.pushSoon();
  }
}
