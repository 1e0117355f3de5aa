package mothwing.broker;

import java.util.function.Consumer;
import mothwing.control.ControllerHost;

/**
 * Carries out the actions that the controller requests. An action on a request that is no longer
 * open has no effect.
 */
final class ControllerActions implements ControllerHost {
  private static final long MICROS_PER_MILLI = 1000;

  private final BrokerParts parts;
  private final OpenRequests open;
  private Consumer<Long> idleConnectionCloser = idleMicros -> {};

  ControllerActions(BrokerParts parts) {
    this.parts = parts;
    open = parts.context.open();
  }

  void setIdleConnectionCloser(Consumer<Long> closer) {
    idleConnectionCloser = closer;
  }

  @Override
  public void startRun(String id) {
    parts.runs.start(id);
  }

  @Override
  public void stopRun(String id) {
    parts.runs.stop(id);
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long retryAfterMicros) {
    Exchange exchange = open.get(id);
    if (exchange == null) {
      return;
    }
    if (exchange.mustNotRunAgain()) {
      // a rejection would state that nothing ran
      parts.answers.fail(exchange, FailureReason.RAN_BEFORE);
    } else {
      long allowedMicros = parts.shutdownState.allowedRetryAfter(retryAfterMicros);
      long retryAfterMillis = (allowedMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
      parts.answers.reject(exchange, RejectionReason.DECIDED, dontRetry, retryAfterMillis);
    }
    open.removeUnlessInPool(exchange);
  }

  @Override
  public void failRequest(String id) {
    Exchange exchange = open.get(id);
    if (exchange != null) {
      parts.answers.fail(exchange, FailureReason.DECIDED);
      open.removeUnlessInPool(exchange);
    }
  }

  @Override
  public void startCall(String id, long timeoutAt) {
    parts.calls.start(id, timeoutAt);
  }

  @Override
  public void skipCall(String id) {
    parts.calls.skip(id);
  }

  @Override
  public void rememberKey(String id, long keepMicros) {
    Exchange exchange = open.get(id);
    if (exchange != null) {
      parts.keys.remember(exchange, parts.context.scheduler().now() + keepMicros);
    }
  }

  @Override
  public void forgetKey(String id) {
    Exchange exchange = open.get(id);
    if (exchange != null) {
      parts.keys.forget(exchange);
    }
  }

  @Override
  public void replayResult(String id) {
    parts.replays.replay(id);
  }

  @Override
  public void scheduleTimer(long at, String tag) {
    parts.gauges.scheduleTimer(at, tag);
  }

  @Override
  public void publishFreeValue(double value) {
    // during a handover gateways would apply the value to the process that takes over
    if (!parts.shutdownState.isHandingOver()) {
      parts.freeValue.publish(value);
    }
  }

  @Override
  public void setHealth(boolean shallow, boolean mayPass) {
    parts.checks.setHealth(shallow, mayPass);
  }

  @Override
  public void closeIdleConnections(long idleMicros) {
    idleConnectionCloser.accept(idleMicros);
  }

  @Override
  public void log(String text) {
    parts.context.log().write(EventNames.CONTROLLER + " " + text);
  }
}
