package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import mothwing.membership.FailureDetectorSettings;
import mothwing.membership.MembershipEvent;
import mothwing.trial.SimulatedMembershipNetwork.Node;
import mothwing.trial.SimulatedMembershipNetwork.Seen;
import org.junit.jupiter.api.Test;

/** Members on virtual time, through what may befall them. */
class SimulatedMembershipNetworkTest {
  private static SimulatedMembershipNetwork met(int members, long seed) {
    SimulatedMembershipNetwork net =
        new SimulatedMembershipNetwork(members, FailureDetectorSettings.DEFAULTS, seed).startAll();
    assertTrue(net.untilAgreed(20) >= 0, "they do not meet");
    net.pass(10);
    net.seen.clear();
    return net;
  }

  private static List<Seen> of(SimulatedMembershipNetwork net, MembershipEvent.Type what) {
    return net.seen.stream().filter(one -> one.change().type() == what).toList();
  }

  @Test
  void aKilledMemberIsKnownToAllAndItsReturnToo() {
    SimulatedMembershipNetwork net = met(20, 1);
    net.nodes.get("m7").end();
    double known = net.untilAgreed(10);
    assertTrue(known > 0 && known < 5, "after " + known);
    assertEquals(
        19,
        of(net, MembershipEvent.Type.DECLARED_DEAD).size(),
        "each of the others sees it die once");
    net.nodes.get("m7").start(net.seeds());
    assertTrue(net.untilAgreed(5) >= 0, "it comes back under its name, inside its own tombstone");
    assertTrue(of(net, MembershipEvent.Type.DISPLACED).isEmpty());
  }

  @Test
  void pausesUnderTwoSecondsKillNobody() {
    SimulatedMembershipNetwork net = met(20, 2);
    for (int i = 0; i < 20; i++) {
      net.all().get(i).pause(1_900_000);
      net.pass(4);
    }
    assertEquals(List.of(), of(net, MembershipEvent.Type.DECLARED_DEAD));
    net.nodes.get("m3").pause(10_000_000);
    net.pass(9);
    assertTrue(
        of(net, MembershipEvent.Type.DECLARED_DEAD).stream()
            .allMatch(one -> one.change().record().name().equals("m3")));
    assertTrue(net.untilAgreed(5) >= 0, "it objects as it wakes, and accuses nobody else");
    assertTrue(
        of(net, MembershipEvent.Type.DECLARED_DEAD).stream()
            .allMatch(one -> one.change().record().name().equals("m3")));
  }

  /**
   * Guards against a member that goes and comes for ever, and against one that is called so for a
   * single fall.
   */
  @Test
  void whoStopsAgainAndAgainCountsAsFlappingUntilItIsSteady() {
    SimulatedMembershipNetwork net = met(20, 9);
    Node one = net.nodes.get("m3");
    net.nodes.get("m5").end();
    for (int i = 0; i < 12; i++) {
      one.pause(3_000_000);
      net.pass(8);
      if (i == 0) {
        net.nodes.get("m5").start(net.seeds());
      }
    }
    assertTrue(net.untilAgreed(20) >= 0);
    List<Node> others = net.all().stream().filter(node -> node != one).toList();
    for (Node node : others) {
      if (!node.name.equals("m5")) {
        assertEquals(Set.of("m3"), node.member.view().flapping(), node.name);
      }
    }
    net.pass(240);
    assertTrue(others.stream().allMatch(node -> node.member.view().flapping().isEmpty()));
    assertEquals(
        of(net, MembershipEvent.Type.FLAPPING).size(), of(net, MembershipEvent.Type.STABLE).size());
  }

  @Test
  void lostMessagesAndOneSidedCutsKillNobodyThatSomebodyHears() {
    SimulatedMembershipNetwork net = met(12, 3);
    net.loss = 0.3;
    net.pass(120);
    assertEquals(List.of(), of(net, MembershipEvent.Type.DECLARED_DEAD), "30% loss");
    net.loss = 0;
    net.cut = (from, to) -> from.equals("m2") && to.equals("m5");
    net.pass(60);
    net.cut =
        (from, to) ->
            (from.equals("m2") && to.equals("m5")) || (from.equals("m5") && to.equals("m2"));
    net.pass(60);
    assertEquals(
        List.of(),
        of(net, MembershipEvent.Type.DECLARED_DEAD),
        "one direction, then both, others see the two");
  }

  /**
   * A member that hears all and is heard by none, and one that is heard by all and hears none: both
   * call themselves alone.
   */
  @Test
  void whoIsCutOffKnowsThatItIsAlone() {
    SimulatedMembershipNetwork net = met(12, 4);
    net.cut = (from, to) -> to.equals("m2");
    net.pass(20);
    assertTrue(net.nodes.get("m2").member.view().isolated(), "it hears none");
    net.cut = (from, to) -> false;
    assertTrue(net.untilAgreed(15) >= 0);
    net.pass(5);
    assertEquals(1, of(net, MembershipEvent.Type.ISOLATED).size());
    assertEquals(1, of(net, MembershipEvent.Type.CONNECTED).size());
  }

  @Test
  void halvesThatWereCutMeetAgain() {
    SimulatedMembershipNetwork net = met(20, 5);
    net.cut =
        (from, to) ->
            (Integer.parseInt(from.substring(1)) < 10) != (Integer.parseInt(to.substring(1)) < 10);
    net.pass(30);
    assertEquals(
        10,
        SimulatedMembershipNetwork.held(net.nodes.get("m1").member).size(),
        "each half goes on by itself");
    net.cut = (from, to) -> false;
    double met = net.untilAgreed(20);
    assertTrue(met >= 0, "they do not meet again");
  }

  @Test
  void aSuccessorTakesTheNameWithoutADeathAndAStrayDoesNotFlap() {
    SimulatedMembershipNetwork net = met(8, 6);
    Node old = net.nodes.get("m4");
    mothwing.membership.Membership before = old.member;
    old.start(
        net.seeds()); // the old process's messages no longer come through, as its address is taken
    assertTrue(net.untilAgreed(5) >= 0);
    assertEquals(List.of(), of(net, MembershipEvent.Type.DECLARED_DEAD));
    assertTrue(old.member != before);
    net.stray("m5", "elsewhere").start(net.seeds());
    net.pass(10);
    assertEquals(
        1,
        of(net, MembershipEvent.Type.DISPLACED).size(),
        "one of the two stays, the other is silent");
    net.seen.clear();
    net.pass(60);
    assertEquals(List.of(), net.seen, "and nothing flaps");
    net.nodes.get("m6").member.leave();
    net.pass(1);
    assertEquals(
        7, of(net, MembershipEvent.Type.LEFT).size(), "heard by all that speak within a second");
  }

  /** 300 drawn schedules: after the last fault all that run agree, and no incarnation goes back. */
  @Test
  void afterTheLastFaultAllAgree() {
    double worst = 0;
    for (long seed = 1; seed <= 300; seed++) {
      Random random = new Random(seed);
      SimulatedMembershipNetwork net = met(5 + random.nextInt(8), seed);
      for (int step = 0; step < 8; step++) {
        Node some = net.all().get(random.nextInt(net.all().size()));
        Node other = net.all().get(random.nextInt(net.all().size()));
        int half = 1 + random.nextInt(net.all().size());
        switch (random.nextInt(7)) {
          case 0 -> some.end();
          case 1 -> some.start(net.seeds());
          case 2 -> some.pause((long) (random.nextDouble() * 6e6));
          case 3 -> net.loss = random.nextDouble() * 0.4;
          case 4 -> net.cut = (from, to) -> from.equals(some.name) && to.equals(other.name);
          case 5 ->
              net.cut =
                  (from, to) ->
                      from.equals(some.name)
                          || (from.compareTo("m" + half) < 0 && to.equals(other.name));
          default ->
              net.cut =
                  (from, to) ->
                      (Integer.parseInt(from.substring(1)) < half)
                          != (Integer.parseInt(to.substring(1)) < half);
        }
        net.pass(random.nextDouble() * 8);
      }
      net.cut = (from, to) -> false;
      net.loss = 0;
      net.all().stream()
          .filter(one -> !one.running())
          .limit(random.nextInt(3))
          .forEach(one -> one.start(net.seeds()));
      if (net.running().stream().noneMatch(net.seeds()::contains)) {
        net.all().get(0).start(net.seeds());
      }
      net.pass(6); // pauses have ended
      double took = net.untilAgreed(60);
      long number = seed;
      assertTrue(
          took >= 0,
          () ->
              "seed "
                  + number
                  + ": "
                  + net.running()
                  + " but "
                  + net.all().stream()
                      .filter(Node::running)
                      .map(one -> one.name + SimulatedMembershipNetwork.held(one.member))
                      .toList());
      worst = Math.max(worst, took);
      Map<String, Long> last = new HashMap<>();
      List<String> back = new ArrayList<>();
      net.seen.forEach(
          one -> {
            String key =
                one.by()
                    + " start "
                    + one.start()
                    + " of "
                    + one.change().record().name()
                    + one.change().record().instanceId();
            if (last.merge(key, one.change().record().incarnation(), (a, b) -> b < a ? -1 : b)
                < 0) {
              back.add(key);
            }
          });
      assertEquals(List.of(), back);
    }
    assertTrue(worst < 40, "took up to " + worst + " s");
  }
}
