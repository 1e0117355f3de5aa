package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mothwing.control.Settings;
import org.junit.jupiter.api.Test;

class RequestTableTest {
  private final Settings settings = Fixtures.settings("save", "one");
  private final TrackedRequest first = Fixtures.request(settings, "z", 0);
  private final TrackedRequest second = Fixtures.request(settings, "a", 0);
  private final RequestTable requests = new RequestTable();

  @Test
  void keepsReadOrderAndRemovesOnce() {
    requests.add(first);
    requests.add(second);
    assertEquals(List.of(first, second), requests.snapshot());
    assertTrue(requests.remove(first));
    assertFalse(requests.remove(first));
    assertFalse(requests.contains("z"));
  }

  @Test
  void remembersRejectionUntilBatchEnds() {
    requests.markRejected(first);
    assertTrue(requests.wasRejectedInBatch("z"));
    requests.endBatch();
    assertFalse(requests.wasRejectedInBatch("z"));
  }
}
