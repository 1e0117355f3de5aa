package mothwing.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import mothwing.broker.Scheduler;
import mothwing.membership.MembershipMessage.Kind;

/** One member on a manual clock; records the messages that it sends and its events. */
final class ProtocolFixture implements Scheduler, MembershipHost {
  static final FailureDetectorSettings SETTINGS = FailureDetectorSettings.DEFAULTS;

  private record Task(long at, long order, Runnable work) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          (a, b) ->
              a.at() == b.at() ? Long.compare(a.order(), b.order()) : Long.compare(a.at(), b.at()));
  final List<MembershipMessage> sent = new ArrayList<>();
  final List<MembershipEvent.Type> events = new ArrayList<>();
  final LocalMember self;
  final MemberTable members = new MemberTable();
  final ProbeRing ring;
  final Dissemination dissemination;
  final LocalHealth health = new LocalHealth(SETTINGS.maxLocalHealthScore());
  private long now;
  private long nextOrder;

  ProtocolFixture() {
    self =
        new LocalMember(
            "cluster", record("self", MemberState.ALIVE), SETTINGS, this, new Random(1), this);
    ring = new ProbeRing(members, self);
    dissemination = new Dissemination(self, members, ring);
  }

  static MemberRecord record(String name, MemberState state) {
    return new MemberRecord(name, 1, name + ":1", "zone", 3, state, name);
  }

  Member addPresent(String name) {
    Member member = members.add(record(name, MemberState.ALIVE));
    members.countPresence(true);
    ring.invalidate();
    return member;
  }

  List<Kind> sentKinds() {
    return sent.stream().map(MembershipMessage::kind).toList();
  }

  void advance(long micros) {
    long end = now + micros;
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task task = tasks.poll();
      now = Math.max(now, task.at());
      task.work().run();
    }
    now = end;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public long wallClockMillis() {
    return now / 1000;
  }

  @Override
  public void schedule(long at, Runnable work) {
    tasks.add(new Task(at, nextOrder++, work));
  }

  @Override
  public void sendDatagram(String address, MembershipMessage message) {
    sent.add(message);
  }

  @Override
  public void sendStream(String address, MembershipMessage message) {
    sent.add(message);
  }

  @Override
  public void onEvent(MembershipEvent event) {
    events.add(event.type());
  }
}
