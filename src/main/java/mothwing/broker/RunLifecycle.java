package mothwing.broker;

import java.util.Locale;
import java.util.function.LongSupplier;
import mothwing.control.RunOutcome;
import mothwing.control.StopMode;

/** Starts, resumes and stops runs in the pool, and handles their ends. */
final class RunLifecycle implements RunReconciler.Actions {
  private final BrokerContext context;
  private final IdempotencyKeys keys;
  private final RunAdmission admission;
  private final RequestAnswers answers;
  private final DependencyCalls calls;
  private final Replays replays;
  private final RequestStatistics statistics;
  private final LongSupplier sentPolls;

  /**
   * Creates the lifecycle of all runs of one broker.
   *
   * @param context the state that the parts of the broker share
   * @param keys the idempotency keys
   * @param admission the limits on runs in this process
   * @param answers answers requests
   * @param calls the dependency calls of runs
   * @param replays the repeats that wait for the end of a run
   * @param statistics counts the requests that were handed to the pool
   * @param sentPolls the number of polls that were sent to the pool
   */
  RunLifecycle(
      BrokerContext context,
      IdempotencyKeys keys,
      RunAdmission admission,
      RequestAnswers answers,
      DependencyCalls calls,
      Replays replays,
      RequestStatistics statistics,
      LongSupplier sentPolls) {
    this.context = context;
    this.keys = keys;
    this.admission = admission;
    this.answers = answers;
    this.calls = calls;
    this.replays = replays;
    this.statistics = statistics;
    this.sentPolls = sentPolls;
  }

  /** Runs a request, or resumes its paused run. */
  void start(String id) {
    Exchange exchange = context.open().get(id);
    if (exchange == null || !exchange.isPending() || exchange.state() == Exchange.State.RUNNING) {
      return;
    }
    if (exchange.state() == Exchange.State.PAUSED) {
      resume(exchange);
    } else if (exchange.mustNotRunAgain()) {
      // the aborted run may have taken effect
      answers.fail(exchange, FailureReason.RAN_BEFORE);
      context.open().removeUnlessInPool(exchange);
    } else if (admission.admit(exchange)) {
      context.counters().add(CounterNames.RUNS_STARTED);
      dispatch(exchange);
    } else {
      reportNotStarted(id);
    }
  }

  private void resume(Exchange exchange) {
    exchange.runResumed(sentPolls.getAsLong());
    context.pool().resumeRun(exchange.request().id());
  }

  private void dispatch(Exchange exchange) {
    keys.runStarted(exchange);
    boolean sent = context.pool().startRun(exchange);
    if (exchange.runStarted(sentPolls.getAsLong(), sent)) {
      statistics.recordDispatch(exchange.request().className());
    }
  }

  /** Reports the end of a run that was not started, since the controller counts it as running. */
  private void reportNotStarted(String id) {
    context.open().remove(id);
    context
        .events()
        .enqueue((receiver, at) -> receiver.runEnded(at, id, RunOutcome.NOT_STARTED, 0));
  }

  /** Stops a run in the stop mode of the settings. */
  void stop(String id) {
    Exchange exchange = context.open().get(id);
    if (exchange != null && exchange.isInPool() && !exchange.run().isStopping()) {
      exchange.run().stop(context.scheduler().now() + RunReconciler.REPEAT_STOP_MICROS);
      context.counters().add(CounterNames.RUNS_STOPPED);
      context.pool().stopRun(id);
    }
  }

  /** Handles the pool's report of the end of a run; the result is null unless it succeeded. */
  void ended(String id, RunOutcome outcome, long durationMicros, byte[] result) {
    context.counters().add(CounterNames.RUN_ENDED_PREFIX + outcome.name().toLowerCase(Locale.ROOT));
    Exchange exchange = context.open().get(id);
    if (exchange == null || !exchange.isInPool()) {
      context.counters().add(CounterNames.RUN_ENDED_UNEXPECTED);
      return;
    }
    calls.abandon(exchange);
    if (outcome == RunOutcome.STOPPED && wasStoppedToProbe(exchange)) {
      // the stop is not reported, as the controller did not request it
      exchange.runStopped(true);
      resume(exchange);
      return;
    }
    if (outcome == RunOutcome.STOPPED) {
      exchange.runStopped(stopMode() == StopMode.SUSPEND);
    } else {
      exchange.runEnded();
    }
    if (!exchange.isInPool()) {
      keys.runEnded(exchange, outcome, result);
    }
    answer(exchange, outcome, result);
    if (!exchange.isInPool() && !exchange.isPending()) {
      context.open().remove(id);
    }
    context.events().enqueue((receiver, at) -> receiver.runEnded(at, id, outcome, durationMicros));
    replays.answerRepeatsOfEndedOriginals();
  }

  /** Whether a run was stopped only to determine whether the pool has it. */
  private boolean wasStoppedToProbe(Exchange exchange) {
    return exchange.isPending() && !exchange.run().isStopping() && stopMode() == StopMode.SUSPEND;
  }

  private void answer(Exchange exchange, RunOutcome outcome, byte[] result) {
    switch (outcome) {
      case SUCCEEDED -> answers.complete(exchange, result);
      case STOPPED -> {}
      case NOT_STARTED -> answers.fail(exchange, FailureReason.STALE);
      default -> answers.fail(exchange, FailureReason.CRASHED);
    }
  }

  private StopMode stopMode() {
    return context.settings().settings().machine().stopMode();
  }

  @Override
  public void retryStart(Exchange exchange) {
    context.counters().add(CounterNames.RUNS_RETRIED);
    context.requestLog().write(EventNames.RUN_RETRIED, exchange, "reconnected");
    dispatch(exchange);
  }

  @Override
  public void deliverCallResult(Exchange exchange) {
    calls.resume(exchange, exchange.call().unsentResult());
  }

  @Override
  public void abort(Exchange exchange) {
    stop(exchange.request().id());
  }

  @Override
  public void giveUp(Exchange exchange) {
    ended(exchange.request().id(), RunOutcome.NOT_STARTED, 0, null);
  }
}
