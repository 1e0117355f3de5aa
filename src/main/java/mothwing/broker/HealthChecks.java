package mothwing.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Answers health checks. A deep check has the pool do some work. The number of deep checks in
 * progress and their duration are bounded; a check that exceeds a bound fails.
 */
final class HealthChecks {
  /** The maximum number of deep checks in progress. */
  static final int MAX_CHECKS = 64;

  private static final long CHECK_TIMEOUT_MICROS = 2_000_000;

  private record Check(Consumer<Boolean> answer, long expiresAt) {}

  private final WorkerPool pool;
  private final Scheduler scheduler;
  private final ShutdownState shutdown;
  private final Counters counters;
  private final Map<String, Check> checksByEcho = new LinkedHashMap<>();
  private long deepChecksStarted;
  private boolean started;
  private boolean shallowOnly;
  private boolean healthy = true;

  HealthChecks(WorkerPool pool, Scheduler scheduler, ShutdownState shutdown, Counters counters) {
    this.pool = pool;
    this.scheduler = scheduler;
    this.shutdown = shutdown;
    this.counters = counters;
  }

  /** Starts answering; called with the controller. Checks before this call fail. */
  void start() {
    started = true;
  }

  /**
   * Sets the health that the controller decided on.
   *
   * @param shallow whether deep checks are answered without work of the pool
   * @param mayPass whether checks may succeed
   */
  void setHealth(boolean shallow, boolean mayPass) {
    shallowOnly = shallow;
    healthy = mayPass;
  }

  /**
   * Answers a check.
   *
   * @param deep whether the pool has to prove that it works
   * @param answer called once, with whether the check succeeded
   */
  void check(boolean deep, Consumer<Boolean> answer) {
    counters.add(CounterNames.HEALTH_CHECKS);
    if (!started || shallowOnly || !deep || !isHealthy()) {
      answer.accept(started && isHealthy());
    } else if (!pool.isReady() || checksByEcho.size() >= MAX_CHECKS) {
      answer.accept(false);
    } else {
      deepChecksStarted++;
      String echo = "c" + deepChecksStarted;
      checksByEcho.put(echo, new Check(answer, scheduler.now() + CHECK_TIMEOUT_MICROS));
      pool.startHealthCheck(echo);
    }
  }

  /** Handles the pool's report on whether it did the work of a deep check. */
  void ended(String echo, boolean succeeded) {
    Check check = checksByEcho.remove(echo);
    if (check != null) {
      check.answer().accept(succeeded && isHealthy());
    }
  }

  /** Fails the checks that have timed out. */
  void expire(long now) {
    for (Map.Entry<String, Check> check : new ArrayList<>(checksByEcho.entrySet())) {
      if (now >= check.getValue().expiresAt()) {
        ended(check.getKey(), false);
      }
    }
  }

  /** Fails the checks in progress, because the connection to the pool is lost. */
  void poolDisconnected() {
    for (String echo : new ArrayList<>(checksByEcho.keySet())) {
      ended(echo, false);
    }
  }

  private boolean isHealthy() {
    return shutdown.isHealthy(healthy);
  }
}
