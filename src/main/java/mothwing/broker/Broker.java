package mothwing.broker;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;

/**
 * The core of the server and its entry points: fronts bring requests and cancellations, the pool
 * brings the ends of runs and gauges, the dependency brings the ends of calls, and the controller
 * asks for actions as events reach it. The parts behind the entry points have one job each.
 *
 * <p>It knows no wire. All methods are called on the one thread that owns the broker.
 */
public final class Broker implements ControllerHost {
  /** Requests open at once; those beyond are rejected without the controller. */
  public static final int MAX_OPEN_REQUESTS = RequestIntake.MAX_OPEN_REQUESTS;

  /** What {@link #retryAfterIfOverloaded} returns for a request that is to be submitted. */
  public static final long NOT_OVERLOADED = -1;

  private static final long MICROS_PER_MILLI = 1000;

  private final BrokerParts parts;
  private final ControllerActions actions;
  private final BiFunction<Settings, ControllerHost, Controller> controllerFactory;
  private Controller controller;
  private Runnable onReady = () -> {};

  /**
   * Makes a broker; the controller is made once the pool is connected.
   *
   * @param settings the settings of the site
   * @param controllerFactory makes the controller
   * @param pool runs the requests
   * @param scheduler the clocks
   * @param counters counts what happens
   * @param log takes log lines
   */
  public Broker(
      Settings settings,
      BiFunction<Settings, ControllerHost, Controller> controllerFactory,
      WorkerPool pool,
      Scheduler scheduler,
      Counters counters,
      EventLog log) {
    this.controllerFactory = controllerFactory;
    parts = new BrokerParts(settings, pool, scheduler, counters, log);
    actions = new ControllerActions(parts);
  }

  /**
   * Replaces the settings. Classes and tenants keep their indexes by name; open requests keep the
   * class and the deadline that they were read under, and counts stay.
   *
   * @param settings the new settings of the site
   */
  public void applySettings(Settings settings) {
    BrokerContext context = parts.context;
    context.settings().apply(settings, context.open().view());
    parts.freeValue.setMeaning(settings.signals().freeValue());
    context.settings().classNames().forEach(parts.statistics::register);
    if (controller != null) {
      Settings current = context.settings().settings();
      context.events().enqueue((to, at) -> to.settingsChanged(at, current));
    }
  }

  /**
   * Sets what is done, once, when the pool is connected and requests are taken.
   *
   * @param work the work
   */
  public void whenReady(Runnable work) {
    onReady = work;
  }

  /** Sets who closes idle connections; it takes the idle span in microseconds. */
  public void setIdleConnectionCloser(Consumer<Long> closer) {
    actions.setIdleConnectionCloser(closer);
  }

  /**
   * Sets who knows whether this process lags too far behind to decide.
   *
   * @param isOverloaded asked once for each request; true where it is to be rejected undecided
   */
  public void setOverloadCheck(BooleanSupplier isOverloaded) {
    parts.intake.setOverloadCheck(isOverloaded);
  }

  /** Sets who makes the dependency calls of runs. */
  public void setDependencyClient(DependencyClient client) {
    parts.calls.setClient(client);
  }

  /**
   * Sets with whom the runs of requests with an idempotency key are shared.
   *
   * @param shared grants them, among all processes at this address
   */
  public void setRunClaims(RunClaims shared) {
    parts.admission.setClaims(shared);
  }

  /**
   * Whether a request is to be rejected before its fields are parsed, as this process lags so far
   * behind that deciding would cost more than it has. Such a request is counted as rejected.
   *
   * @param path the path of the request; one that names no class is never rejected so
   * @return the milliseconds of the retry advice, or {@link #NOT_OVERLOADED}
   */
  public long retryAfterIfOverloaded(String path) {
    return isServing() ? parts.intake.retryAfterIfOverloaded(path) : NOT_OVERLOADED;
  }

  /**
   * Takes a request that was read completely.
   *
   * @param request the request
   * @param caller takes its answer
   * @return its exchange
   */
  public Exchange submit(InboundRequest request, ResponseSink caller) {
    return parts.intake.submit(request, caller);
  }

  /**
   * The caller of a request no longer waits.
   *
   * @param exchange the request
   */
  public void cancelled(Exchange exchange) {
    if (!exchange.cancel()) {
      return;
    }
    BrokerContext context = parts.context;
    context.counters().add(CounterNames.CANCELLED);
    String id = exchange.request().id();
    if (context.open().get(id) == exchange) {
      parts.calls.abandon(exchange);
      context.events().enqueue((to, at) -> reportCancelled(exchange, to, at));
    }
  }

  private void reportCancelled(Exchange exchange, Controller to, long at) {
    parts.context.open().removeUnlessInPool(exchange);
    to.requestCancelled(at, exchange.request().id());
  }

  /**
   * Answers a health check.
   *
   * @param deep whether the pool is to prove that it works
   * @param answer takes whether the check succeeded, once
   */
  public void healthCheck(boolean deep, Consumer<Boolean> answer) {
    parts.checks.check(deep, answer);
  }

  /**
   * Takes the server out of rotation, by failing health checks, or puts it back. Requests are
   * answered as usual, and repeating the call changes nothing.
   *
   * @param now whether it is to be out of rotation
   * @return false once a shutdown was requested, in which case nothing has changed
   */
  public boolean setOutOfRotation(boolean now) {
    return parts.shutdown.setOutOfRotation(now);
  }

  /** Whether the server was taken out of rotation and not put back. */
  public boolean isOutOfRotation() {
    return parts.shutdownState.isOutOfRotation();
  }

  /** Whether requests are decided: the pool was connected, and no shutdown was requested. */
  public boolean isServing() {
    return controller != null && !parts.shutdownState.isDraining();
  }

  /** What operators see of requests: counts by class, and the number of pending ones. */
  public Map<String, Object> statistics() {
    Map<String, Object> snapshot = parts.statistics.snapshot();
    snapshot.put("pending", pendingCount());
    return snapshot;
  }

  /** The free value that goes out with answers, or none where the settings give it no meaning. */
  public OptionalDouble freeValue() {
    return parts.freeValue.value();
  }

  /** Whether a shutdown was requested. */
  public boolean isDraining() {
    return parts.shutdownState.isDraining();
  }

  /** How many requests still wait for their answer. */
  public long pendingCount() {
    return parts.context.open().pendingCount();
  }

  /** The counts so far, one line of {@code name=value} words. */
  public String counts() {
    String open = "open=" + parts.context.open().size();
    return open + " pending=" + pendingCount() + " " + parts.context.counters();
  }

  /**
   * Requests the shutdown. In a handover, where another process takes clients at the same address,
   * nothing is said that keeps gateways away, and what still comes is run for a while.
   *
   * @param noticeAt when it was requested, in microseconds of the monotonic clock
   * @param stopAt when the process is stopped
   * @param handover whether another process takes clients at the same address
   */
  public void drain(long noticeAt, long stopAt, boolean handover) {
    parts.shutdown.request(noticeAt, stopAt, handover);
  }

  /** Fails all pending requests, as the process ends now. */
  public void failPending() {
    for (Exchange exchange : parts.context.open().snapshot()) {
      if (exchange.isPending()) {
        parts.answers.fail(exchange, FailureReason.LEAVING);
        parts.context.open().removeUnlessInPool(exchange);
      }
    }
  }

  /**
   * The pool is connected; the notices that were missed follow.
   *
   * @param coldStart whether the machine had just started when the pool did
   * @param age microseconds since the start of the pool
   */
  public void poolConnected(boolean coldStart, long age) {
    if (controller != null) {
      return;
    }
    BrokerContext context = parts.context;
    context.settings().setColdStart(coldStart);
    controller = controllerFactory.apply(context.settings().settings(), actions);
    context.events().setController(controller);
    parts.intake.start();
    parts.checks.start();
    parts.gauges.start();
    context
        .log()
        .write(EventNames.READY + " cold=" + coldStart + " age_ms=" + age / MICROS_PER_MILLI);
    controller.serverStarted(context.scheduler().now() - age);
    parts.deadlines.start();
    parts.shutdown.controllerStarted();
    onReady.run();
  }

  /** The missed notices have been read: runs in doubt are reconciled. */
  public void resynchronized() {
    parts.reconciler.resynchronized(parts.context.scheduler().now());
  }

  /** The connection to the pool is lost. */
  public void poolDisconnected() {
    parts.reconciler.poolDisconnected();
    parts.gauges.poolDisconnected();
    parts.checks.poolDisconnected();
  }

  /**
   * A run has ended.
   *
   * @param id the request
   * @param outcome how it ended
   * @param tookMicros microseconds it took
   * @param result the result of a run that succeeded
   */
  public void runEnded(String id, RunOutcome outcome, long tookMicros, byte[] result) {
    parts.runs.ended(id, outcome, tookMicros, result);
  }

  /**
   * A run awaits a dependency call.
   *
   * @param id the request
   * @param content what it asks of the dependency
   */
  public void runAwaitsCall(String id, byte[] content) {
    parts.calls.awaited(id, content);
  }

  /**
   * A dependency call has ended.
   *
   * @param id the request
   * @param outcome how it ended
   * @param result what was returned, where it succeeded
   */
  public void callEnded(String id, RunOutcome outcome, byte[] result) {
    parts.calls.ended(id, outcome, result);
  }

  /**
   * The pool has sent its gauges.
   *
   * @param echo the echo of the request for them
   * @param values the gauges
   */
  public void gaugesReceived(String echo, double[] values) {
    parts.gauges.received(echo, values);
  }

  /**
   * A deep health check has ended.
   *
   * @param echo the echo of its request
   * @param good whether the work was done
   */
  public void healthCheckEnded(String echo, boolean good) {
    parts.checks.ended(echo, good);
  }

  @Override
  public void startRun(String id) {
    actions.startRun(id);
  }

  @Override
  public void stopRun(String id) {
    actions.stopRun(id);
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long stayAway) {
    actions.rejectRequest(id, dontRetry, stayAway);
  }

  @Override
  public void failRequest(String id) {
    actions.failRequest(id);
  }

  @Override
  public void startCall(String id, long until) {
    actions.startCall(id, until);
  }

  @Override
  public void skipCall(String id) {
    actions.skipCall(id);
  }

  @Override
  public void rememberKey(String id, long span) {
    actions.rememberKey(id, span);
  }

  @Override
  public void forgetKey(String id) {
    actions.forgetKey(id);
  }

  @Override
  public void replayResult(String id) {
    actions.replayResult(id);
  }

  @Override
  public void scheduleTimer(long at, String tag) {
    actions.scheduleTimer(at, tag);
  }

  @Override
  public void publishFreeValue(double value) {
    actions.publishFreeValue(value);
  }

  @Override
  public void setHealth(boolean cheap, boolean good) {
    actions.setHealth(cheap, good);
  }

  @Override
  public void closeIdleConnections(long span) {
    actions.closeIdleConnections(span);
  }

  @Override
  public void log(String text) {
    actions.log(text);
  }
}
