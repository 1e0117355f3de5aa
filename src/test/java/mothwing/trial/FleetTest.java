package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import mothwing.trial.FleetStage.Machine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Membership among real servers, with the relay between any two. Waits are for what is to come
 * about, however long it takes.
 */
class FleetTest {
  private static final long MILLI = 1_000_000;
  private static final long PATIENCE = 30_000 * MILLI;

  @TempDir private Path disks;
  private FleetStage stage;

  /** Waits, so long that what has not come about by then never will. */
  private void await(BooleanSupplier what) {
    long end = System.nanoTime() + PATIENCE;
    while (!what.getAsBoolean()) {
      if (System.nanoTime() > end) {
        fail(
            stage.machines.stream()
                .filter(one -> one.now != null)
                .map(
                    one ->
                        one.name
                            + " is "
                            + one.state()
                            + " and holds "
                            + one.holds()
                            + ", its log: "
                            + one.now.lines)
                .collect(Collectors.joining("\n")));
      }
    }
  }

  /** Five servers that know each other. */
  private void met(long seed) throws IOException {
    stage = new FleetStage(5, seed, disks);
    stage.startAll();
    awaitAgreed(stage.machines, all(5));
  }

  private static Map<String, String> all(int many, String... others) {
    Map<String, String> all = new TreeMap<>();
    for (int i = 1; i <= many; i++) {
      all.put("s" + i, "alive");
    }
    for (String one : others) {
      all.put(one.split("=")[0], one.split("=")[1]);
    }
    return all;
  }

  private void awaitAgreed(List<Machine> some, Map<String, String> on) {
    await(() -> on.equals(stage.agreed(some)));
  }

  private List<Machine> but(String... names) {
    return stage.machines.stream()
        .filter(one -> !List.of(names).contains(one.name))
        .collect(Collectors.toList());
  }

  private long deaths() {
    return stage.machines.stream()
        .mapToLong(one -> one.logged(" member what=declared_dead "))
        .sum();
  }

  /** Lets a fault last while each machine's view is looked at, again and again. */
  private void during(double seconds, Predicate<Machine> holds) {
    for (long end = System.nanoTime() + ((long) (seconds * 1000)) * MILLI;
        System.nanoTime() < end; ) {
      for (Machine one : stage.machines) {
        assertTrue(holds.test(one), () -> one.name + " holds " + one.holds() + " " + one.now.lines);
      }
    }
  }

  @AfterEach
  void end() throws IOException {
    stage.close();
  }

  /** Lost, repeated and damaged datagrams, and a cut that others see round, kill nobody. */
  @Test
  void whatOthersSeeRoundKillsNobody() throws Exception {
    met(1);
    List<String> names = stage.machines.stream().map(one -> one.name).toList();
    List<Fault> faults = new ArrayList<>();
    faults.add(stage.apply(Fault.Kind.LOSE, names, names, true, 0.3));
    faults.add(stage.apply(Fault.Kind.REPEAT, names, names, true, 0.3));
    faults.add(stage.apply(Fault.Kind.FLIP, names, names, true, 0.02));
    during(6, one -> !one.holds().containsValue("dead"));
    faults.forEach(stage::revert);
    faults.clear();
    faults.add(
        stage.apply(
            Fault.Kind.SWALLOW, List.of("s1"), List.of("s2"), true, 0)); // s2 hears nothing of s1
    faults.add(
        stage.apply(
            Fault.Kind.SWALLOW, List.of("s3"), List.of("s4"), false, 0)); // nor these of each other
    during(6, one -> !one.holds().containsValue("dead"));
    faults.forEach(stage::revert);
    awaitAgreed(stage.machines, all(5));
    assertEquals(0, deaths());
    assertTrue(stage.machines.stream().allMatch(one -> one.state().equals("connected")));
  }

  /**
   * Who is gone is known to be gone, each in its way; who comes back is taken back, inside its
   * tombstone too.
   */
  @Test
  void whoGoesAndComesBackIsKnownByAll() throws Exception {
    met(2);
    Machine third = stage.machine("s3");
    third.now.kill();
    awaitAgreed(but("s3"), all(5, "s3=dead"));
    third.start(stage.machines.subList(0, 2));
    awaitAgreed(stage.machines, all(5));
    Machine first = stage.machine("s1"); // a seed
    first.now.leave();
    awaitAgreed(but("s1"), all(5, "s1=left"));
    assertEquals(0, first.now.await());
    first.start(stage.machines.subList(0, 2));
    awaitAgreed(stage.machines, all(5));
    Machine fifth = stage.machine("s5");
    fifth.now.signal("STOP");
    awaitAgreed(but("s5"), all(5, "s5=dead"));
    fifth.now.signal("CONT");
    awaitAgreed(stage.machines, all(5)); // it objects
    assertEquals(0, stage.machines.stream().mapToLong(one -> one.logged("fault")).sum());
  }

  /**
   * Each half of a split goes on by itself, the smaller one knows that it is alone, and both meet
   * again.
   */
  @Test
  void halvesOfASplitMeetAgain() throws Exception {
    met(3);
    List<String> small = List.of("s4", "s5");
    Fault split = stage.apply(Fault.Kind.SWALLOW, small, List.of("s1", "s2", "s3"), false, 0);
    awaitAgreed(but("s4", "s5"), all(5, "s4=dead", "s5=dead"));
    await(() -> small.stream().allMatch(name -> stage.machine(name).state().equals("alone")));
    assertTrue(but("s4", "s5").stream().allMatch(one -> one.state().equals("connected")));
    stage.revert(split);
    awaitAgreed(stage.machines, all(5));
    await(() -> stage.machines.stream().allMatch(one -> one.state().equals("connected")));
  }

  /**
   * With all seeds gone the others go on, and whoever knows one of them comes in; then all start
   * again, one after the other.
   */
  @Test
  void withoutSeedsTheOthersGoOnAndAWaveOfRestartsIsFollowed() throws Exception {
    met(5);
    Machine first = stage.machine("s1");
    first.now.kill();
    stage.machine("s2").now.kill();
    awaitAgreed(but("s1", "s2"), all(5, "s1=dead", "s2=dead"));
    List<Machine> known = List.of(stage.machine("s4"));
    first.start(known);
    stage.machine("s2").start(List.of(first));
    awaitAgreed(stage.machines, all(5));
    for (Machine one : stage.machines) {
      one.now.leave();
      one.now.await();
      one.start(but(one.name).subList(0, 2));
    }
    awaitAgreed(stage.machines, all(5));
    assertTrue(stage.machines.stream().allMatch(one -> one.logged(" member what=displaced ") == 0));
  }

  /**
   * A member that stands still for 3 s in every 8 counts as flapping, and one that stands still for
   * 1 s is missed by nobody.
   */
  @Test
  void whoStandsStillAgainAndAgainIsMarked() throws Exception {
    met(6);
    Machine fourth = stage.machine("s4");
    for (Machine one : stage.machines) {
      one.now.signal("STOP");
      for (long end = System.nanoTime() + 1000 * MILLI; System.nanoTime() < end; ) {
        assertTrue(stage.machine(one == fourth ? "s5" : "s4").holds().size() <= 5);
      }
      one.now.signal("CONT");
      awaitAgreed(stage.machines, all(5));
    }
    assertEquals(0, deaths());
    for (int i = 0; i < 3; i++) {
      fourth.now.signal("STOP");
      awaitAgreed(but("s4"), all(5, "s4=dead"));
      fourth.now.signal("CONT");
      awaitAgreed(stage.machines, all(5));
    }
    await(
        () ->
            but("s4").stream().allMatch(one -> one.logged(" member what=flapping name=s4 ") == 1));
  }

  /**
   * A name taken twice by mistake: one stays, both say so. A fleet of another name is not listened
   * to.
   */
  @Test
  void oneOfTwoOfANameStaysAndOtherFleetsAreNotHeard() throws Exception {
    stage = new FleetStage(5, 4, disks);
    List<Machine> three = stage.machines.subList(0, 3);
    for (Machine one : three) {
      one.start(three.subList(0, 2));
    }
    awaitAgreed(three, all(3));
    Machine twin = stage.machine("s4");
    twin.start("s3", "cairo", three.subList(0, 2));
    Machine third = stage.machine("s3");
    await(
        () ->
            third.logged(" member what=displaced ") + twin.logged(" member what=displaced ") == 1);
    Machine stays = third.logged(" member what=displaced ") == 1 ? twin : third;
    awaitAgreed(List.of(stage.machine("s1"), stage.machine("s2"), stays), all(3));
    Machine stranger = stage.machine("s5");
    stranger.start("s5", "giza", three.subList(0, 2));
    await(() -> stranger.told() != null && stranger.logged("fleet-joins") == 1);
    await(() -> stranger.state().equals("alone"));
    assertEquals(Map.of("s5", "alive"), stranger.holds());
    assertNotNull(stage.agreed(List.of(stage.machine("s1"), stage.machine("s2"))));
    assertTrue(!stage.machine("s1").holds().containsKey("s5"));
  }
}
