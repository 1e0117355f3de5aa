package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LoadIndexTest {
  private static int indexAfter(int samples, double cores, double others) {
    LoadIndex index = new LoadIndex();
    int last = 0;
    for (int i = 0; i < samples; i++) {
      last = index.add(cores, others, others, others);
    }
    return last;
  }

  @Test
  void sumsTheScoresOfAllGauges() {
    assertEquals(4, indexAfter(LoadIndex.HISTORY, 1, 1));
    assertEquals(-4, indexAfter(LoadIndex.HISTORY, 0, 0));
    assertEquals(1, indexAfter(LoadIndex.HISTORY, 1, 0.3));
    assertEquals(0, indexAfter(LoadIndex.HISTORY, 0.9, 0.3));
  }

  @Test
  void averagesOverItsHistory() {
    assertEquals(-1, indexAfter(3, 1, 1), "cores and memory are still low on average");
  }
}
