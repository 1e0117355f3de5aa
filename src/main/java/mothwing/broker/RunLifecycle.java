package mothwing.broker;

import java.util.Locale;
import java.util.function.LongSupplier;
import mothwing.control.RunOutcome;
import mothwing.control.StopMode;

/** Starts, resumes and stops runs in the pool, and takes their ends. */
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
   * Makes one.
   *
   * @param context what the parts of the broker share
   * @param keys the idempotency keys
   * @param admission decides whether a request may run here
   * @param answers answers requests
   * @param calls the dependency calls of runs
   * @param replays the repeats that wait for the end of a run
   * @param statistics counts requests that were handed to the pool
   * @param sentPolls how many polls the pool has been sent
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
    } else if (exchange.hasRunForGood()) {
      answers.fail(exchange, FailureReason.RAN_BEFORE); // the aborted run may have had its effect
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

  /**
   * Reports the end of a start that was not carried out, as the controller counts it as running.
   */
  private void reportNotStarted(String id) {
    context.open().remove(id);
    context.events().enqueue((to, at) -> to.runEnded(at, id, RunOutcome.NOT_STARTED, 0));
  }

  /** Stops a run as the stop mode of the settings says. */
  void stop(String id) {
    Exchange exchange = context.open().get(id);
    if (exchange != null && exchange.isInPool() && !exchange.run().isStopping()) {
      exchange.run().stop(context.scheduler().now() + RunReconciler.REPEAT_STOP_MICROS);
      context.counters().add(CounterNames.RUNS_STOPPED);
      context.pool().stopRun(id);
    }
  }

  /** The pool reports the end of a run; the result is there where it succeeded. */
  void ended(String id, RunOutcome outcome, long tookMicros, byte[] result) {
    context.counters().add(CounterNames.RUN_ENDED_PREFIX + outcome.name().toLowerCase(Locale.ROOT));
    Exchange exchange = context.open().get(id);
    if (exchange == null || !exchange.isInPool()) {
      context.counters().add(CounterNames.RUN_ENDED_UNEXPECTED);
      return;
    }
    calls.abandon(exchange);
    if (outcome == RunOutcome.STOPPED && wasStoppedToProbe(exchange)) {
      exchange.runStopped(true);
      resume(exchange); // the controller need not know
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
    context.events().enqueue((to, at) -> to.runEnded(at, id, outcome, tookMicros));
    replays.answerEnded();
  }

  /** Whether a run was stopped only to find out whether the pool has it. */
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
  public void retryStart(Exchange run) {
    context.counters().add(CounterNames.RUNS_RETRIED);
    context.reasons().write(EventNames.RUN_RETRIED, run, "reconnected");
    dispatch(run);
  }

  @Override
  public void deliverCallResult(Exchange run) {
    calls.resume(run, run.call().unsentResult());
  }

  @Override
  public void abort(Exchange run) {
    stop(run.request().id());
  }

  @Override
  public void giveUp(Exchange run) {
    ended(run.request().id(), RunOutcome.NOT_STARTED, 0, null);
  }
}
