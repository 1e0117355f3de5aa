package mothwing.broker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class HealthChecksTest {
  private static final long TIMEOUT_MICROS = 2_000_000;

  private final ManualScheduler scheduler = new ManualScheduler();
  private final List<String> started = new ArrayList<>();
  private final List<Boolean> answers = new ArrayList<>();
  private final HealthChecks checks =
      new HealthChecks(new SilentPool(), scheduler, new ShutdownState(), new Counters());

  /** A pool that accepts health checks and never ends them. */
  private final class SilentPool implements WorkerPool {
    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public boolean startRun(Exchange exchange) {
      return false;
    }

    @Override
    public void stopRun(String id) {}

    @Override
    public void resumeRun(String id) {}

    @Override
    public void requestGauges(String echo) {}

    @Override
    public void startHealthCheck(String echo) {
      started.add(echo);
    }
  }

  /** Guards against checks that accumulate while the pool hangs, and callers without an answer. */
  @Test
  void boundsDeepChecksInNumberAndTime() {
    checks.start();
    for (int i = 0; i < HealthChecks.MAX_CHECKS + 1; i++) {
      checks.check(true, answers::add);
    }
    assertEquals(List.of(false), answers);
    assertEquals(HealthChecks.MAX_CHECKS, started.size());
    checks.ended(started.get(0), true);
    assertEquals(List.of(false, true), answers);
    scheduler.advanceTo(TIMEOUT_MICROS - 1);
    checks.expire(scheduler.now());
    assertEquals(2, answers.size());
    scheduler.advanceTo(TIMEOUT_MICROS);
    checks.expire(scheduler.now());
    assertEquals(HealthChecks.MAX_CHECKS + 1, answers.size());
    assertEquals(HealthChecks.MAX_CHECKS, Collections.frequency(answers, false));
    checks.ended(started.get(1), true);
    assertEquals(HealthChecks.MAX_CHECKS + 1, answers.size(), "each check is answered once");
  }

  @Test
  void failsAllChecksUntilControllerHasStarted() {
    checks.check(false, answers::add);
    checks.start();
    checks.check(false, answers::add);
    assertEquals(List.of(false, true), answers);
  }
}
