package mothwing.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import mothwing.control.Controller;
import org.junit.jupiter.api.Test;

class EventBatcherTest {
  private static final long INTERVAL_MICROS = 1000;

  private final ManualScheduler scheduler = new ManualScheduler();
  private final Counters counters = new Counters();
  private final List<String> calls = new ArrayList<>();
  private final EventBatcher batcher =
      new EventBatcher(scheduler, () -> INTERVAL_MICROS, counters, line -> {});

  private Controller controller() {
    return (Controller)
        Proxy.newProxyInstance(
            Controller.class.getClassLoader(),
            new Class<?>[] {Controller.class},
            (self, method, arguments) -> {
              calls.add(method.getName() + " " + arguments[0]);
              if (method.getName().equals("requestCancelled")) {
                throw new IllegalStateException("on purpose");
              }
              return null;
            });
  }

  /**
   * Guards against batches closer than the interval, and against an exception of the controller
   * that loses the events after it.
   */
  @Test
  void spacesBatchesByIntervalAndLosesOneEventPerException() {
    batcher.setController(controller());
    batcher.enqueue((to, at) -> to.requestCancelled(at, "1"));
    batcher.enqueue((to, at) -> to.callAwaited(at, "2"));
    scheduler.advanceTo(400);
    batcher.requestBatch();
    scheduler.advanceTo(5000);
    assertEquals(
        List.of("requestCancelled 0", "callAwaited 0", "batchEnded 0", "batchEnded 1000"), calls);
    assertEquals(1, counters.get(CounterNames.CONTROLLER_FAULTS));
  }
}
