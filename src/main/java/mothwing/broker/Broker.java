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
 * The entry points of the server's core. Fronts submit and cancel requests, the pool reports gauges
 * and the ends of runs, the dependency client reports the ends of calls, and the controller
 * requests actions as it handles events. Each entry point delegates to a part with one job.
 *
 * <p>Independent of any wire protocol. All methods are called on the one thread that owns the
 * broker.
 */
public final class Broker implements ControllerHost {
  /** The maximum number of open requests; more are rejected without asking the controller. */
  public static final int MAX_OPEN_REQUESTS = RequestIntake.MAX_OPEN_REQUESTS;

  /** Returned by {@link #retryAfterIfOverloaded} for a request that is to be submitted. */
  public static final long NOT_OVERLOADED = -1;

  private static final long MICROS_PER_MILLI = 1000;

  private final BrokerParts parts;
  private final ControllerActions actions;
  private final BiFunction<Settings, ControllerHost, Controller> controllerFactory;
  private Controller controller;
  private Runnable onReady = () -> {};

  /**
   * Creates a broker. The controller is created when the pool is connected for the first time.
   *
   * @param settings the settings of the server
   * @param controllerFactory creates the controller
   * @param pool runs the requests
   * @param scheduler the clocks and timers
   * @param counters the counters of events
   * @param log receives the log lines
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
   * Replaces the settings. Classes and tenants keep their indexes by name, open requests keep the
   * class and the deadline that applied when they were read, and statistics are preserved.
   *
   * @param settings the new settings of the server
   */
  public void applySettings(Settings settings) {
    BrokerContext context = parts.context;
    context.settings().apply(settings, context.open().view());
    parts.freeValue.setMeaning(settings.signals().freeValue());
    context.settings().classNames().forEach(parts.statistics::register);
    if (controller != null) {
      Settings current = context.settings().settings();
      context.events().enqueue((receiver, at) -> receiver.settingsChanged(at, current));
    }
  }

  /**
   * Sets a callback that runs once, when the pool is connected and requests are accepted.
   *
   * @param callback the callback
   */
  public void whenReady(Runnable callback) {
    onReady = callback;
  }

  /** Sets the handler that closes idle connections; it receives the idle time in microseconds. */
  public void setIdleConnectionCloser(Consumer<Long> closer) {
    actions.setIdleConnectionCloser(closer);
  }

  /**
   * Sets the check for whether this process lags too far behind to decide on a request.
   *
   * @param isOverloaded called once for each request; true to reject without asking the controller
   */
  public void setOverloadCheck(BooleanSupplier isOverloaded) {
    parts.intake.setOverloadCheck(isOverloaded);
  }

  /** Sets the client that makes the dependency calls of runs. */
  public void setDependencyClient(DependencyClient client) {
    parts.calls.setClient(client);
  }

  /**
   * Sets the claims that decide which of the processes at this address runs a request.
   *
   * @param keys the claims on idempotency keys
   * @param ids the claims on ids of requests that may run once
   */
  public void setRunClaims(RunClaims keys, RunClaims ids) {
    parts.admission.setClaims(keys, ids);
  }

  /**
   * Whether a request is to be rejected before its fields are parsed, because this process lags so
   * far behind that it cannot afford a decision. Such a request is counted as rejected.
   *
   * @param path the path of the request; a path that names no class is never rejected here
   * @return the retry advice in milliseconds, or {@link #NOT_OVERLOADED}
   */
  public long retryAfterIfOverloaded(String path) {
    return isServing() ? parts.intake.retryAfterIfOverloaded(path) : NOT_OVERLOADED;
  }

  /**
   * Accepts a request that was read completely.
   *
   * @param request the request
   * @param caller receives its answer
   * @return its exchange
   */
  public Exchange submit(InboundRequest request, ResponseSink caller) {
    return parts.intake.submit(request, caller);
  }

  /**
   * Reports that the caller of a request no longer waits for the answer.
   *
   * @param exchange the request
   */
  public void cancelled(Exchange exchange) {
    parts.intake.cancelled(exchange);
  }

  /**
   * Answers a health check.
   *
   * @param deep whether the pool has to prove that it works
   * @param answer called once, with whether the check succeeded
   */
  public void healthCheck(boolean deep, Consumer<Boolean> answer) {
    parts.checks.check(deep, answer);
  }

  /**
   * Takes the server out of rotation, by failing health checks, or puts it back. Requests are
   * answered as usual. Idempotent.
   *
   * @param outOfRotation whether the server is to be out of rotation
   * @return false after a shutdown was requested, in which case nothing has changed
   */
  public boolean setOutOfRotation(boolean outOfRotation) {
    return parts.shutdown.setOutOfRotation(outOfRotation);
  }

  /**
   * Sets the rotation of the server.
   *
   * @param rotation the rotation, shared by all processes at this address
   */
  public void setRotation(Rotation rotation) {
    parts.shutdown.setRotation(rotation);
  }

  /** Whether the server was taken out of rotation and not put back. */
  public boolean isOutOfRotation() {
    return parts.shutdownState.isOutOfRotation();
  }

  /** Whether requests are decided on: the pool was connected, and no shutdown was requested. */
  public boolean isServing() {
    return controller != null && !parts.shutdownState.isDraining();
  }

  /** The request statistics for operators: counts by class, and the number of pending requests. */
  public Map<String, Object> statistics() {
    Map<String, Object> snapshot = parts.statistics.snapshot();
    snapshot.put("pending", pendingCount());
    return snapshot;
  }

  /** The free value that is sent with answers, or none if the settings give it no meaning. */
  public OptionalDouble freeValue() {
    return parts.freeValue.value();
  }

  /** Whether a shutdown was requested. */
  public boolean isDraining() {
    return parts.shutdownState.isDraining();
  }

  /** The number of requests that wait for their answer. */
  public long pendingCount() {
    return parts.context.open().pendingCount();
  }

  /** The current counters, on one line as space-separated {@code name=value} pairs. */
  public String counts() {
    String open = "open=" + parts.context.open().size();
    return open + " pending=" + pendingCount() + " " + parts.context.counters();
  }

  /**
   * Requests a graceful shutdown. In a handover, where another process serves clients at the same
   * address, no answer or health check turns gateways away, and new requests run for a while.
   *
   * @param requestedAt when it was requested, in microseconds of the monotonic clock
   * @param stopAt when the process is stopped, on the same clock
   * @param handover whether another process serves clients at the same address
   */
  public void drain(long requestedAt, long stopAt, boolean handover) {
    parts.shutdown.request(requestedAt, stopAt, handover);
  }

  /** Fails all pending requests, because the process is about to end. */
  public void failPending() {
    for (Exchange exchange : parts.context.open().snapshot()) {
      if (exchange.isPending()) {
        parts.answers.fail(exchange, FailureReason.PROCESS_ENDING);
        parts.context.open().removeUnlessInPool(exchange);
      }
    }
  }

  /**
   * Reports that the pool is connected. Only the first call has an effect.
   *
   * @param coldStart whether the pool reports a fresh start, so that a slow start is needed
   * @param ageMicros microseconds since the start of the pool
   */
  public void poolConnected(boolean coldStart, long ageMicros) {
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
        .write(EventNames.READY + " cold=" + coldStart + " age_ms=" + ageMicros / MICROS_PER_MILLI);
    controller.serverStarted(context.scheduler().now() - ageMicros);
    parts.deadlines.start();
    parts.shutdown.controllerStarted();
    onReady.run();
  }

  /** Reports that all missed notices have been read: runs in doubt are reconciled. */
  public void resynchronized() {
    parts.reconciler.resynchronized(parts.context.scheduler().now());
  }

  /** Reports that the connection to the pool is lost. */
  public void poolDisconnected() {
    parts.reconciler.poolDisconnected();
    parts.gauges.poolDisconnected();
    parts.checks.poolDisconnected();
  }

  /**
   * Reports that a run has ended.
   *
   * @param id the request
   * @param outcome how it ended
   * @param durationMicros its duration in microseconds
   * @param result the result, or null unless the run succeeded
   */
  public void runEnded(String id, RunOutcome outcome, long durationMicros, byte[] result) {
    parts.runs.ended(id, outcome, durationMicros, result);
  }

  /**
   * Reports that a run awaits a dependency call.
   *
   * @param id the request
   * @param content the content of the call
   */
  public void runAwaitsCall(String id, byte[] content) {
    parts.calls.awaited(id, content);
  }

  /**
   * Reports that a dependency call has ended.
   *
   * @param id the request
   * @param outcome how it ended
   * @param result the result, or null unless the call succeeded
   */
  public void callEnded(String id, RunOutcome outcome, byte[] result) {
    parts.calls.ended(id, outcome, result);
  }

  /**
   * Reports the gauges that the pool has sent.
   *
   * @param echo the echo of the request for them
   * @param values the gauges
   */
  public void gaugesReceived(String echo, double[] values) {
    parts.gauges.received(echo, values);
  }

  /**
   * Reports that a deep health check has ended.
   *
   * @param echo the echo of its request
   * @param succeeded whether the pool did the work
   */
  public void healthCheckEnded(String echo, boolean succeeded) {
    parts.checks.ended(echo, succeeded);
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
  public void rejectRequest(String id, boolean dontRetry, long retryAfterMicros) {
    actions.rejectRequest(id, dontRetry, retryAfterMicros);
  }

  @Override
  public void failRequest(String id) {
    actions.failRequest(id);
  }

  @Override
  public void startCall(String id, long timeoutAt) {
    actions.startCall(id, timeoutAt);
  }

  @Override
  public void skipCall(String id) {
    actions.skipCall(id);
  }

  @Override
  public void rememberKey(String id, long keepMicros) {
    actions.rememberKey(id, keepMicros);
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
  public void setHealth(boolean shallow, boolean mayPass) {
    actions.setHealth(shallow, mayPass);
  }

  @Override
  public void closeIdleConnections(long idleMicros) {
    actions.closeIdleConnections(idleMicros);
  }

  @Override
  public void log(String text) {
    actions.log(text);
  }
}
