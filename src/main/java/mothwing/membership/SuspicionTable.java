package mothwing.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tracks suspicions and their timeouts: a suspect that does not refute in time is declared dead.
 * While many members are suspected at once, the fault is likely near this process, and declarations
 * of death are held back for up to {@code massFailureHoldMicros}.
 */
final class SuspicionTable {
  private static final int MAX_INDEPENDENT_FAILURES = 2;

  private final LocalMember self;
  private final MemberTable members;
  private final Dissemination dissemination;
  private final LocalHealth health;
  private final Consumer<MemberRecord> declareDead;
  private final List<Long> recentDeathTimesMicros = new ArrayList<>();

  SuspicionTable(
      LocalMember self,
      MemberTable members,
      Dissemination dissemination,
      LocalHealth health,
      Consumer<MemberRecord> declareDead) {
    this.self = self;
    this.members = members;
    this.dissemination = dissemination;
    this.health = health;
    this.declareDead = declareDead;
  }

  /** Suspects a member that this process cannot reach. */
  void suspect(Member member) {
    long now = self.now();
    boolean newlySuspected = member.state() == MemberState.ALIVE;
    if (newlySuspected) {
      member.setRecord(member.record().withState(MemberState.SUSPECT, self.name()));
      member.beginSuspicion(now);
      self.publish(MembershipEvent.Type.SUSPECTED, member.record());
    }
    if (!member.suspicion().addAccuser(self.name())) {
      return;
    }
    dissemination.enqueue(member.record().withState(MemberState.SUSPECT, self.name()));
    dissemination.sendUnawaitedPing(member.address(), List.of(member.record()));
    if (!newlySuspected) {
      member.suspicion().startNoEarlierThan(now - self.settings().minSuspicionMicros());
    }
    scheduleTimeout(member);
  }

  /** Adopts a suspicion that was gossiped. */
  void adopt(Member member) {
    member.beginSuspicion(self.now());
    member.suspicion().addAccuser(member.record().reportedBy());
    self.publish(MembershipEvent.Type.SUSPECTED, member.record());
    scheduleTimeout(member);
  }

  /**
   * Counts a further accuser of the suspected incarnation, unless enough accusers have been counted
   * already.
   */
  void confirm(Member member, MemberRecord record) {
    boolean sameSuspicion =
        record.state() == MemberState.SUSPECT
            && member.state() == MemberState.SUSPECT
            && record.incarnation() == member.record().incarnation();
    if (sameSuspicion
        && member.suspicion().accuserCount() <= self.settings().suspicionConfirmations()
        && member.suspicion().addAccuser(record.reportedBy())) {
      dissemination.enqueue(record);
      scheduleTimeout(member);
    }
  }

  /** Extends all suspicions by a pause of this process. */
  void postponeAll(long spanMicros) {
    members.all().forEach(member -> member.suspicion().postpone(spanMicros));
  }

  private long timeoutMicros(Member member) {
    return member.suspicion().timeoutMicros(self.name(), self.settings(), health.multiplier());
  }

  private long deadlineMicros(Member member) {
    return member.suspicion().startedAtMicros() + timeoutMicros(member);
  }

  private void scheduleTimeout(Member member) {
    long incarnation = member.record().incarnation();
    self.schedule(deadlineMicros(member), () -> onTimeout(member, incarnation));
  }

  private void onTimeout(Member member, long incarnation) {
    if (self.isDisplaced()
        || member.state() != MemberState.SUSPECT
        || member.record().incarnation() != incarnation) {
      return;
    }
    long now = self.now();
    if (deadlineMicros(member) > now) {
      scheduleTimeout(member);
    } else if (isMassFailure(member, now)) {
      self.schedule(now + self.settings().probeIntervalMicros(), () -> scheduleTimeout(member));
    } else {
      declareDead.accept(member.record().withState(MemberState.DEAD, self.name()));
    }
  }

  private boolean isMassFailure(Member member, long now) {
    long holdMicros = self.settings().massFailureHoldMicros();
    recentDeathTimesMicros.removeIf(at -> at < now - holdMicros);
    int recentDeaths = recentDeathTimesMicros.size();
    int failing = members.inState(MemberState.SUSPECT).size() + recentDeaths;
    int total = members.presentCount() + 1 + recentDeaths;
    boolean aboveThreshold =
        failing > Math.max(MAX_INDEPENDENT_FAILURES, self.settings().massFailureRatio() * total);
    if (aboveThreshold
        && now - member.suspicion().startedAtMicros() <= timeoutMicros(member) + holdMicros) {
      return true;
    }
    recentDeathTimesMicros.add(now);
    return false;
  }
}
