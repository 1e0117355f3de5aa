package mothwing.trial;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.TreeSet;
import mothwing.membership.FailureDetectorSettings;
import mothwing.membership.MembershipEvent;
import mothwing.trial.SimulatedMembershipNetwork.Node;
import mothwing.trial.SimulatedMembershipNetwork.Seen;
import org.HdrHistogram.Histogram;

/** Measures membership on virtual time: {@code members simulate}. */
public final class MembershipStatistics {
  private static final double MICRO = 1e6;
  private static final int KILLS = 20;
  private static final double APART = 20; // seconds between kills, in which all settle
  private static final double SLOW = 0.05;
  private static final long SLOW_BY =
      2_000_000; // mean microseconds by which a slow member is late with all that comes
  private static final double LOSS = 0.05;

  private MembershipStatistics() {}

  /**
   * Prints the figures for one number of members.
   *
   * @param members how many
   * @param seed of all random numbers
   * @param seconds for which slow members and lost messages are looked at
   * @param out takes the lines
   * @return 0, or 1 where members did not agree in the end
   */
  public static int print(int members, long seed, double seconds, PrintStream out) {
    SimulatedMembershipNetwork net =
        new SimulatedMembershipNetwork(members, FailureDetectorSettings.DEFAULTS, seed).startAll();
    double met = net.untilAgreed(120);
    out.printf(Locale.ROOT, "%d members, seed %d: all met after %.1f s%n", members, seed, met);
    net.pass(30 + members / 10.0); // until what was told at the start has been told on
    long messages = sum(net, false);
    long bytes = sum(net, true);
    net.pass(20);
    out.printf(
        Locale.ROOT,
        "  quiet: %.1f messages and %.0f bytes a member a second%n",
        (sum(net, false) - messages) / 20.0 / members,
        (sum(net, true) - bytes) / 20.0 / members);
    boolean good = met >= 0 && kills(net, seed, out) && split(net, out);
    for (FailureDetectorSettings pace :
        List.of(
            FailureDetectorSettings.DEFAULTS,
            FailureDetectorSettings.DEFAULTS.withoutLocalHealth())) {
      strained(members, seed, seconds, pace, out);
    }
    return good ? 0 : 1;
  }

  private static long sum(SimulatedMembershipNetwork net, boolean bytes) {
    return net.nodes.values().stream().mapToLong(one -> bytes ? one.bytes : one.sent).sum();
  }

  private static boolean kills(SimulatedMembershipNetwork net, long seed, PrintStream out) {
    Random random = new Random(seed);
    Histogram first = new Histogram(3);
    Histogram all = new Histogram(3);
    boolean good = true;
    for (int i = 0; i < KILLS; i++) {
      Node one = net.all().get(random.nextInt(net.nodes.size()));
      net.seen.clear();
      long from = net.time.now();
      one.end();
      net.pass(APART / 2);
      TreeSet<String> told = new TreeSet<>();
      for (Seen seen : net.seen) {
        if (seen.change().type() == MembershipEvent.Type.DECLARED_DEAD
            && seen.change().record().name().equals(one.name)
            && told.add(seen.by())) {
          all.recordValue(seen.at() - from);
          if (told.size() == 1) {
            first.recordValue(seen.at() - from);
          }
        }
      }
      good &= told.size() == net.nodes.size() - 1;
      one.start(net.seeds());
      net.pass(APART / 2);
    }
    out.printf(
        Locale.ROOT,
        "  %d kills: declared dead after %.2f s median, %.2f s at most; known to each after %.2f s p50,"
            + " %.2f s p99, %.2f s at most%s%n",
        KILLS,
        first.getValueAtPercentile(50) / MICRO,
        first.getMaxValue() / MICRO,
        all.getValueAtPercentile(50) / MICRO,
        all.getValueAtPercentile(99) / MICRO,
        all.getMaxValue() / MICRO,
        good ? "" : "; NOT KNOWN TO ALL");
    return good;
  }

  private static boolean split(SimulatedMembershipNetwork net, PrintStream out) {
    int half = net.nodes.size() / 2;
    net.cut =
        (from, to) ->
            (Integer.parseInt(from.substring(1)) < half)
                != (Integer.parseInt(to.substring(1)) < half);
    net.pass(20);
    net.cut = (from, to) -> false;
    double met = net.untilAgreed(120);
    out.printf(Locale.ROOT, "  halves cut for 20 s: all agree %.1f s after the heal%n", met);
    return met >= 0;
  }

  private static void strained(
      int members, long seed, double seconds, FailureDetectorSettings pace, PrintStream out) {
    SimulatedMembershipNetwork net = new SimulatedMembershipNetwork(members, pace, seed).startAll();
    net.untilAgreed(120);
    net.pass(10);
    int slow = (int) Math.ceil(members * SLOW);
    net.all().stream().skip(members - slow).forEach(one -> one.slow = SLOW_BY);
    net.loss = LOSS;
    net.seen.clear();
    net.pass(seconds);
    TreeSet<String> deaths = new TreeSet<>();
    long healthy = 0;
    for (Seen seen : net.seen) {
      if (seen.change().type() == MembershipEvent.Type.DECLARED_DEAD
          && deaths.add(seen.change().record().name() + seen.change().record().incarnation())) {
        healthy += net.nodes.get(seen.change().record().name()).slow == 0 ? 1 : 0;
      }
    }
    out.printf(
        Locale.ROOT,
        "  %d of %d late by %d ms in the mean, %.0f%% lost, for %.0f s, %s doubt of oneself: %d false deaths,"
            + " %d of members that keep up; %.1f an hour%n",
        slow,
        members,
        SLOW_BY / 1000,
        100 * LOSS,
        seconds,
        pace.maxLocalHealthScore() > 0 ? "with" : "without",
        deaths.size(),
        healthy,
        deaths.size() * 3600 / seconds);
  }
}
