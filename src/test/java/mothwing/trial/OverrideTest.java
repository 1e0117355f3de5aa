package mothwing.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Overrides on virtual time, under drawn schedules of loss, cuts, standstills and lost power. */
class OverrideTest {
  private static final int SCHEDULES = Integer.getInteger("schedules", 300);

  /**
   * Guards against an override that acts past its end, comes back, or stays where it was taken
   * back.
   */
  @Test
  void endsEverywhereUnderDrawnSchedules() {
    List<Long> kept =
        List.of(1739L, 18_143L); // unsure and of a higher stamp, it hid a sure one of its id
    for (long seed :
        LongStream.concat(
                LongStream.rangeClosed(1, SCHEDULES), kept.stream().mapToLong(Long::longValue))
            .toArray()) {
      List<OverrideSchedule.Step> steps = OverrideSchedule.drawn(seed);
      SimulatedOverrideNetwork net =
          OverrideSchedule.play(steps, seed, SimulatedOverrideNetwork.Planted.NONE);
      if (!net.broken.isEmpty()) {
        List<OverrideSchedule.Step> fewer =
            OverrideSchedule.shrunk(steps, seed, SimulatedOverrideNetwork.Planted.NONE);
        assertEquals(
            List.of(),
            OverrideSchedule.play(fewer, seed, SimulatedOverrideNetwork.Planted.NONE).broken,
            "seed " + seed + " " + fewer);
      }
    }
  }

  /**
   * One takes an override back while it is cut off, loses power, and comes back to servers that
   * never heard of it.
   */
  private static final List<OverrideSchedule.Step> TAKEN_BACK_ALONE =
      List.of(
          new OverrideSchedule.Step(OverrideSchedule.Kind.MAKE, 0, 9, 3_000),
          new OverrideSchedule.Step(OverrideSchedule.Kind.CUT, 0, 0, 100),
          new OverrideSchedule.Step(OverrideSchedule.Kind.REVOKE, 0, 1, 500),
          new OverrideSchedule.Step(OverrideSchedule.Kind.POWER, 0, 0, 500),
          new OverrideSchedule.Step(OverrideSchedule.Kind.POWER, 0, 0, 500));

  @Test
  void whatOneSideTookBackStaysSoAcrossItsLossOfPower() {
    assertEquals(
        List.of(),
        OverrideSchedule.play(TAKEN_BACK_ALONE, 1, SimulatedOverrideNetwork.Planted.NONE).broken);
    assertEquals(
        "n0 goes by o1, which was taken back",
        OverrideSchedule.play(
                TAKEN_BACK_ALONE, 1, SimulatedOverrideNetwork.Planted.TOMBSTONES_DROPPED)
            .broken
            .get(0)
            .replaceFirst(".* ms: ", ""));
  }

  /**
   * One message at a time. Guards against a schedule of one fault that ends wrongly. Kept by its
   * coordinates: a server that is back from a loss of power and calls sure what is not is believed,
   * for its channel trusts it.
   */
  @Test
  void nothingThatBefallsOneMessageBreaksARule() {
    List<OverrideMutations.At> all = OverrideMutations.all();
    List<OverrideMutations.At> some =
        IntStream.range(0, all.size()).filter(i -> i % 17 == 0).mapToObj(all::get).toList();
    for (OverrideMutations.Result one : OverrideMutations.played(some)) {
      assertTrue(
          one.at().how() == OverrideMutations.How.FIELD || one.broken().isEmpty(), one::toString);
    }
    long records = OverrideMutations.play(null).saves;
    for (long record = 1; record <= records; record += 13) {
      for (OverrideMutations.Writ how : OverrideMutations.Writ.values()) {
        assertEquals(
            List.of(), OverrideMutations.play(record, how).broken, "record " + record + " " + how);
      }
    }
    OverrideMutations.At lie = new OverrideMutations.At(194, OverrideMutations.How.FIELD, 6);
    assertTrue(all.contains(lie));
    assertEquals(
        "n1 goes by o1 1100 ms past its end",
        OverrideMutations.play(lie).broken.get(0).replaceFirst(".* ms: ", ""));
  }

  /** Each fault that is planted has to be seen by an oracle that knows nothing of it. */
  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"NONE", "TOMBSTONES_DROPPED"})
  void aPlantedFaultIsCaught(SimulatedOverrideNetwork.Planted planted) {
    SimulatedOverrideNetwork caught = null;
    for (long seed = 1; seed <= SCHEDULES && caught == null; seed++) {
      SimulatedOverrideNetwork net =
          OverrideSchedule.play(OverrideSchedule.drawn(seed), seed, planted);
      caught = net.broken.isEmpty() ? null : net;
    }
    assertNotNull(caught, planted + " is seen by nobody");
    assertTrue(caught.broken.size() > 0);
  }
}
