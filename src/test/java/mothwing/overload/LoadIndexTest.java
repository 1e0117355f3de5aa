package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LoadIndexTest {
  private static int indexAfter(int samples, double cores, double otherGauges) {
    LoadIndex index = new LoadIndex();
    int last = 0;
    for (int i = 0; i < samples; i++) {
      last = index.add(cores, otherGauges, otherGauges, otherGauges);
    }
    return last;
  }

  @Test
  void sumsScoresOfAllGauges() {
    assertEquals(4, indexAfter(LoadIndex.HISTORY_SAMPLES, 1, 1));
    assertEquals(-4, indexAfter(LoadIndex.HISTORY_SAMPLES, 0, 0));
    assertEquals(1, indexAfter(LoadIndex.HISTORY_SAMPLES, 1, 0.3));
    assertEquals(0, indexAfter(LoadIndex.HISTORY_SAMPLES, 0.9, 0.3));
  }

  @Test
  void averagesOverHistory() {
    assertEquals(-1, indexAfter(3, 1, 1), "only the average of the cores is still low");
  }
}
