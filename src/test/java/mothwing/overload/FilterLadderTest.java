package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FilterLadderTest {
  private static final long SAMPLE = 30_000;
  private static final long SOJOURN = 10 * SAMPLE;

  private final FilterLadder ladder = new FilterLadder(2);
  private long now = 0;

  private boolean step(long micros, int index) {
    now += micros;
    return ladder.step(now, index, micros / 1e6, SAMPLE);
  }

  @Test
  void stepsOneFilterASojournAtTheMost() {
    for (int i = 0; i < 9; i++) {
      step(SAMPLE, LoadIndex.OVERLOADED);
    }
    assertEquals(0, ladder.filter());
    step(SAMPLE, LoadIndex.OVERLOADED);
    assertEquals(1, ladder.filter());
    step(SAMPLE, LoadIndex.OVERLOADED);
    assertEquals(1, ladder.filter());
  }

  @Test
  void tighteningNeedsThreeOverloadedIntervalsForEachUnderloadedOne() {
    step(SAMPLE, LoadIndex.UNDERLOADED);
    step(SAMPLE, LoadIndex.OVERLOADED);
    step(SOJOURN, LoadIndex.OVERLOADED);
    assertEquals(0, ladder.filter());
  }

  @Test
  void ratesFallAndTheLastFilterIsReportedOnce() {
    double rate = ladder.rate();
    for (int filter = 1; filter <= FilterLadder.INNER_FILTERS; filter++) {
      assertFalse(step(SOJOURN, LoadIndex.OVERLOADED));
      assertTrue(ladder.rate() < rate);
      rate = ladder.rate();
    }
    assertTrue(step(SOJOURN, LoadIndex.OVERLOADED));
    assertEquals(0, ladder.rate());
    assertFalse(step(SOJOURN, LoadIndex.OVERLOADED));
  }
}
