package mothwing.broker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Answers health checks. A deep check has the pool do some work; both the number of deep checks in
 * progress and their time are bounded, and what exceeds a bound fails.
 */
final class HealthChecks {
  /** Deep checks in progress at the same time. */
  static final int MAX_CHECKS = 64;

  private static final long CHECK_TIMEOUT_MICROS = 2_000_000;

  private record Check(Consumer<Boolean> answer, long until) {}

  private final WorkerPool pool;
  private final Scheduler scheduler;
  private final ShutdownState shutdown;
  private final Counters counters;
  private final Map<String, Check> checksByEcho = new LinkedHashMap<>();
  private long startedChecks;
  private boolean started;
  private boolean shallowOnly;
  private boolean healthy = true;

  HealthChecks(WorkerPool pool, Scheduler scheduler, ShutdownState shutdown, Counters counters) {
    this.pool = pool;
    this.scheduler = scheduler;
    this.shutdown = shutdown;
    this.counters = counters;
  }

  /** The controller has started; before that all checks fail. */
  void start() {
    started = true;
  }

  /**
   * Sets what the controller answers to checks.
   *
   * @param shallow whether deep checks are answered without work of the pool
   * @param good whether checks may succeed
   */
  void setHealth(boolean shallow, boolean good) {
    shallowOnly = shallow;
    healthy = good;
  }

  /**
   * Answers a check.
   *
   * @param deep whether the pool is to prove that it works
   * @param answer takes whether the check succeeded, once
   */
  void check(boolean deep, Consumer<Boolean> answer) {
    counters.add(CounterNames.HEALTH_CHECKS);
    if (!started || shallowOnly || !deep || !isHealthy()) {
      answer.accept(started && isHealthy());
    } else if (!pool.isReady() || checksByEcho.size() >= MAX_CHECKS) {
      answer.accept(false);
    } else {
      startedChecks++;
      String echo = "c" + startedChecks;
      checksByEcho.put(echo, new Check(answer, scheduler.now() + CHECK_TIMEOUT_MICROS));
      pool.startHealthCheck(echo);
    }
  }

  /** The pool has done, or failed to do, the work of a deep check. */
  void ended(String echo, boolean good) {
    Check check = checksByEcho.remove(echo);
    if (check != null) {
      check.answer().accept(good && isHealthy());
    }
  }

  /** Fails the checks that have run out of time. */
  void expire(long now) {
    for (Map.Entry<String, Check> check : new ArrayList<>(checksByEcho.entrySet())) {
      if (now >= check.getValue().until()) {
        ended(check.getKey(), false);
      }
    }
  }

  /** The connection is lost: the checks in progress fail. */
  void poolDisconnected() {
    for (String echo : new ArrayList<>(checksByEcho.keySet())) {
      ended(echo, false);
    }
  }

  private boolean isHealthy() {
    return shutdown.isHealthy(healthy);
  }
}
