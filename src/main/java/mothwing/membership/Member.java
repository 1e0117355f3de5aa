package mothwing.membership;

import java.util.List;

/** Another member: its latest record, and the local state of its suspicion and probe. */
final class Member {
  private static final long HASH_SEED = 7;
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT = 29;

  private final long ringPosition;
  private MemberRecord record;
  private Suspicion suspicion = new Suspicion(0);
  private long removedAtMicros;
  private Probe outstandingProbe;

  Member(MemberRecord record) {
    this.record = record;
    ringPosition = ringPosition(record.name());
  }

  /** The position of a name on the hash ring, which is the same at every member. */
  static long ringPosition(String name) {
    long hash = HASH_SEED;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * HASH_MULTIPLIER;
      hash ^= hash >>> HASH_SHIFT;
    }
    return hash;
  }

  long ringPosition() {
    return ringPosition;
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

  String address() {
    return record.address();
  }

  MemberState state() {
    return record.state();
  }

  boolean isPresent() {
    return record.state().isPresent();
  }

  Suspicion suspicion() {
    return suspicion;
  }

  void beginSuspicion(long nowMicros) {
    suspicion = new Suspicion(nowMicros);
  }

  long removedAtMicros() {
    return removedAtMicros;
  }

  void markRemoved(long nowMicros) {
    removedAtMicros = nowMicros;
  }

  Probe outstandingProbe() {
    return outstandingProbe;
  }

  void setOutstandingProbe(Probe probe) {
    outstandingProbe = probe;
  }

  void clearOutstandingProbe() {
    outstandingProbe = null;
  }

  /** The record to send along with a message to this member, so that it can refute it. */
  List<MemberRecord> recordToRefute() {
    return state() == MemberState.ALIVE ? List.of() : List.of(record);
  }
}
