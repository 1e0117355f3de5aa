package mothwing.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Counters;
import mothwing.pool.NoticeSequence.Decision;
import org.junit.jupiter.api.Test;

class NoticeSequenceTest {
  private final Counters counters = new Counters();
  private final List<String> lines = new ArrayList<>();
  private final NoticeSequence sequence = new NoticeSequence(new PoolEvents(counters, lines::add));

  @Test
  void skipsDuplicatesAndNumbersOutOfRange() {
    assertEquals(Decision.PROCESS, sequence.accept(1));
    assertEquals(Decision.SKIP, sequence.accept(1));
    assertEquals(Decision.SKIP, sequence.accept(2 + (1 << 20)));
    assertEquals(1, sequence.lastRead());
    assertEquals(1, counters.get("pool-notices-duplicate"));
    assertEquals(1, counters.get("pool-notices-out-of-range"));
  }

  /** Guards against endless reconnects for notices that the pool no longer has. */
  @Test
  void reconnectsOnceForEachGap() {
    assertEquals(Decision.RECONNECT, sequence.accept(3));
    assertEquals(0, sequence.lastRead());
    assertEquals(Decision.PROCESS, sequence.accept(3));
    assertEquals(2, counters.get("pool-notices-lost"));
    assertEquals(Decision.RECONNECT, sequence.accept(5), "another gap causes another reconnect");
    String gap = "pool-notice-gap after=0 next=3";
    assertEquals(List.of(gap, gap, "pool-notice-gap after=3 next=5"), lines);
  }
}
