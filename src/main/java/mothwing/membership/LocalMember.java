package mothwing.membership;

import java.util.Random;
import mothwing.broker.Scheduler;

/**
 * The state that the parts of one member share: its own record, its clock and random numbers, and
 * the sequences of its messages and events.
 */
final class LocalMember {
  private final String cluster;
  private final FailureDetectorSettings settings;
  private final Scheduler scheduler;
  private final Random random;
  private final MembershipHost host;
  private MemberRecord record;
  private boolean displaced;
  private long viewVersion;
  private long sequence;

  LocalMember(
      String cluster,
      MemberRecord record,
      FailureDetectorSettings settings,
      Scheduler scheduler,
      Random random,
      MembershipHost host) {
    this.cluster = cluster;
    this.record = record;
    this.settings = settings;
    this.scheduler = scheduler;
    this.random = random;
    this.host = host;
    // Random, so that it differs from the sequence of an earlier process of this name.
    sequence = random.nextLong() >>> 1;
  }

  String cluster() {
    return cluster;
  }

  FailureDetectorSettings settings() {
    return settings;
  }

  Random random() {
    return random;
  }

  MembershipHost host() {
    return host;
  }

  long now() {
    return scheduler.now();
  }

  void schedule(long atMicros, Runnable work) {
    scheduler.schedule(atMicros, work);
  }

  MemberRecord record() {
    return record;
  }

  void setRecord(MemberRecord next) {
    record = next;
  }

  String name() {
    return record.name();
  }

  long nextSequence() {
    return ++sequence;
  }

  long viewVersion() {
    return viewVersion;
  }

  /**
   * Whether another process has taken over this name: this one no longer takes part, except that a
   * leave is still announced.
   */
  boolean isDisplaced() {
    return displaced;
  }

  void displace(MemberRecord successor) {
    displaced = true;
    publish(MembershipEvent.Type.DISPLACED, successor);
  }

  /** Raises the version of the view and reports the event to the host. */
  void publish(MembershipEvent.Type type, MemberRecord subject) {
    host.onEvent(new MembershipEvent(++viewVersion, type, subject));
  }
}
