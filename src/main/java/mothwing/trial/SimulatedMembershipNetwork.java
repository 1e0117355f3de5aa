package mothwing.trial;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import mothwing.membership.FailureDetectorSettings;
import mothwing.membership.MemberRecord;
import mothwing.membership.MemberState;
import mothwing.membership.Membership;
import mothwing.membership.MembershipEvent;
import mothwing.membership.MembershipHost;
import mothwing.membership.MembershipMessage;

/**
 * Members on virtual time, with what can befall them and the network between them. Addresses are
 * names here.
 */
final class SimulatedMembershipNetwork {
  private static final long LEAST_WAY = 200; // microseconds
  private static final long MORE_WAY = 800;

  /** A change that a member saw, in one of its starts. */
  record Seen(long at, String by, int start, MembershipEvent change) {}

  /** A machine with its member; a new start has a new one. */
  final class Node extends VirtualMachine {
    final String name;
    final String address;

    /** Mean microseconds by which it is late with all that comes; 0 for a machine that keeps up. */
    long slow;

    /** Messages that it sent, and their bytes. */
    long sent;

    long bytes;
    Membership member;

    private Node(String name, String address) {
      super(time);
      this.name = name;
      this.address = address;
    }

    @Override
    long wallMs() {
      throw new UnsupportedOperationException("only the monotonic clock counts");
    }

    /** Starts its process, with nothing but its seeds. */
    void start(List<String> seeds) {
      int mine = begin();
      member =
          new Membership(
              "cairo",
              new MemberRecord(
                  name, random.nextLong() >>> 1, address, "z", 0, MemberState.ALIVE, name),
              seeds,
              pace,
              timers(mine),
              new Random(random.nextLong()),
              new MembershipHost() {
                @Override
                public void sendDatagram(String address, MembershipMessage message) {
                  sent++;
                  bytes += message.maxEncodedBytes();
                  if (random.nextDouble() >= loss) {
                    carry(Node.this, address, message);
                  }
                }

                @Override
                public void sendStream(String address, MembershipMessage message) {
                  sent++;
                  bytes += message.maxEncodedBytes();
                  carry(Node.this, address, message);
                }

                @Override
                public void onEvent(MembershipEvent change) {
                  seen.add(new Seen(time.now(), address, mine, change));
                }
              });
      member.start();
    }

    /** Stands still for so long; what comes meanwhile is done at its end. */
    void pause(long span) {
      still(true);
      time.schedule(time.now() + span, () -> still(false));
    }
  }

  final VirtualTime time = new VirtualTime();
  final List<Seen> seen = new ArrayList<>();
  final Map<String, Node> nodes = new LinkedHashMap<>();
  double loss;

  /** Whether nothing comes from the one to the other. */
  BiPredicate<String, String> cut = (from, to) -> false;

  private final FailureDetectorSettings pace;
  private final Random random;

  SimulatedMembershipNetwork(int members, FailureDetectorSettings pace, long seed) {
    this.pace = pace;
    random = new Random(seed);
    for (int i = 0; i < members; i++) {
      Node node = new Node("m" + i, "m" + i);
      nodes.put(node.name, node);
    }
  }

  /** A further machine, where a process of a name that is taken is started by mistake. */
  Node stray(String name, String address) {
    Node node = new Node(name, address);
    nodes.put(address, node);
    return node;
  }

  List<Node> all() {
    return List.copyOf(nodes.values());
  }

  /** Starts all at once, with the first three as seeds. */
  SimulatedMembershipNetwork startAll() {
    nodes.values().forEach(one -> one.start(seeds()));
    return this;
  }

  List<String> seeds() {
    return nodes.keySet().stream().limit(3).toList();
  }

  private void carry(Node from, String address, MembershipMessage message) {
    Node to = nodes.get(address);
    if (to == null || cut.test(from.address, address)) {
      return;
    }
    int mine = to.starts();
    long late = to.slow == 0 ? 0 : (long) (-Math.log(1 - random.nextDouble()) * to.slow);
    time.schedule(
        time.now() + LEAST_WAY + (long) (MORE_WAY * random.nextDouble()) + late,
        () -> to.run(mine, () -> to.member.receive(message)));
  }

  void pass(double seconds) {
    time.until(time.now() + (long) (seconds * 1e6));
  }

  /** The names that run. */
  Set<String> running() {
    Set<String> all = new TreeSet<>();
    nodes.values().stream().filter(one -> one.running()).forEach(one -> all.add(one.name));
    return all;
  }

  /** The names that a member takes to be there. */
  static Set<String> held(Membership member) {
    Set<String> all = new TreeSet<>();
    member.view().members().values().stream()
        .filter(one -> one.state().isPresent())
        .forEach(one -> all.add(one.name()));
    return all;
  }

  /** Whether all that run hold exactly those that run to be there. */
  boolean agreed() {
    Set<String> running = running();
    return nodes.values().stream()
        .filter(one -> one.running())
        .allMatch(one -> held(one.member).equals(running));
  }

  /** Seconds until all agree, looked at every tenth; -1 where they do not within a bound. */
  double untilAgreed(double most) {
    long from = time.now();
    while (!agreed()) {
      if (time.now() - from > most * 1e6) {
        return -1;
      }
      pass(0.1);
    }
    return (time.now() - from) / 1e6;
  }
}
