package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FilterLadderTest {
  private static final long SAMPLE_PERIOD = 30_000;
  private static final long SOJOURN = 10 * SAMPLE_PERIOD;

  private final FilterLadder ladder = new FilterLadder(2);
  private long now = 0;

  private boolean step(long elapsedMicros, int index) {
    now += elapsedMicros;
    return ladder.step(now, index, elapsedMicros / 1e6, SAMPLE_PERIOD);
  }

  @Test
  void stepsAtMostOneFilterPerSojourn() {
    for (int i = 0; i < 9; i++) {
      step(SAMPLE_PERIOD, LoadIndex.MIN_OVERLOADED_INDEX);
    }
    assertEquals(0, ladder.filter());
    step(SAMPLE_PERIOD, LoadIndex.MIN_OVERLOADED_INDEX);
    assertEquals(1, ladder.filter());
    step(SAMPLE_PERIOD, LoadIndex.MIN_OVERLOADED_INDEX);
    assertEquals(1, ladder.filter());
  }

  @Test
  void tighteningRequiresThreeOverloadedIntervalsPerUnderloadedOne() {
    step(SAMPLE_PERIOD, LoadIndex.MAX_UNDERLOADED_INDEX);
    step(SAMPLE_PERIOD, LoadIndex.MIN_OVERLOADED_INDEX);
    step(SOJOURN, LoadIndex.MIN_OVERLOADED_INDEX);
    assertEquals(0, ladder.filter());
  }

  @Test
  void ratesDecreaseAndLastFilterIsReportedOnce() {
    double rate = ladder.rate();
    for (int filter = 1; filter <= FilterLadder.INNER_FILTERS; filter++) {
      assertFalse(step(SOJOURN, LoadIndex.MIN_OVERLOADED_INDEX));
      assertTrue(ladder.rate() < rate);
      rate = ladder.rate();
    }
    assertTrue(step(SOJOURN, LoadIndex.MIN_OVERLOADED_INDEX));
    assertEquals(0, ladder.rate());
    assertFalse(step(SOJOURN, LoadIndex.MIN_OVERLOADED_INDEX));
  }
}
