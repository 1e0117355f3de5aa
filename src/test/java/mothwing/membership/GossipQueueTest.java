package mothwing.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class GossipQueueTest {
  @Test
  void takesLeastTransmittedFirstAndDropsAfterMaxTransmissions() {
    GossipQueue queue = new GossipQueue();
    MemberRecord first = ProtocolFixture.record("first", MemberState.ALIVE);
    MemberRecord second = ProtocolFixture.record("other", MemberState.ALIVE);
    queue.add(first);
    assertEquals(List.of(first), queue.take(first.maxEncodedBytes(), 2));
    queue.add(second);
    assertEquals(List.of(second), queue.take(first.maxEncodedBytes(), 2));
    assertEquals(List.of(first, second), queue.take(1000, 2));
    assertEquals(List.of(), queue.take(1000, 2));
    MemberRecord newer = first.withState(MemberState.DEAD, "x");
    queue.add(first);
    queue.add(newer);
    assertEquals(List.of(newer), queue.take(1000, 2));
  }
}
