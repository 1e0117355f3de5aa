package mothwing.broker;

import java.util.function.Supplier;
import java.util.regex.Pattern;
import mothwing.control.StopMode;

/**
 * Reconciles the runs that are in doubt: those whose last command, or whose end, may have been lost
 * with a connection to the worker pool.
 *
 * <p>Invariant: a run has ended only once the pool has reported so. The absence of a report proves
 * nothing, since a pool whose cores hang goes on answering polls. Until that report a run counts as
 * running for the controller, however many connections come and go.
 *
 * <table>
 * <caption>What the pool is asked, by what is known of the run</caption>
 * <tr><th>run</th><th>question</th><th>report that decides</th></tr>
 * <tr><td>being stopped</td><td>the stop again; without a report before the answer to a later poll
 * also the start, which does nothing to a run, and finds a request that has ended
 * {@code stale}</td><td>aborted, done, crashed, stale</td></tr>
 * <tr><td>paused and resumed</td><td>the resume again</td><td>its end</td></tr>
 * <tr><td>started; idempotent, or never put on a connection</td><td>the start again</td>
 * <td>its end</td></tr>
 * <tr><td>started; at most once</td><td>a stop: a report that it was stopped shows that it ran, and
 * it is resumed; without a report, the start again</td><td>its end</td></tr>
 * </table>
 *
 * <p>Thread: the event loop. It holds no request of its own.
 */
final class RunReconciler {
  /** What is done about a run in doubt. */
  interface Actions {
    /** Sends the start of a run again. */
    void retryStart(Exchange run);

    /** Resumes a run with the answer to its call that no connection has carried yet. */
    void deliverCallResult(Exchange run);

    /** Aborts a run. */
    void abort(Exchange run);

    /** Gives up a lost run. */
    void giveUp(Exchange run);
  }

  /** The echo of the poll that follows the questions about runs in doubt. */
  private static final String DOUBT_POLL = "resolve";

  /** The echo of a poll for whether anything is runnable. */
  private static final String IDLE_POLL = "idle";

  /** The echoes of {@link #nextPoll}; a pool may send any other. */
  private static final Pattern NUMBERED = Pattern.compile("t[0-9]{1,18}");

  private static final long MICROS_PER_MILLI = 1000;

  /** When a poll without an answer is repeated: ten round trips of a busy machine. */
  private static final long REPEAT_POLL_MICROS = 300 * MICROS_PER_MILLI;

  /** When a stop without effect is repeated, as cores that hung may work again. */
  static final long REPEAT_STOP_MICROS = 500 * MICROS_PER_MILLI;

  /** How long past its deadline the end of a run counts as lost. */
  private static final long END_LOST_MICROS = 10_000 * MICROS_PER_MILLI;

  /** The interval of polls for whether anything is runnable, while the end of a run is lost. */
  private static final long IDLE_POLL_INTERVAL_MICROS = 100 * MICROS_PER_MILLI;

  /** Idle answers in a row that prove that nothing runs; a run may wait for a disk at one. */
  private static final int REQUIRED_IDLE_ANSWERS = 3;

  /** The interval of probes for a run whose end is lost. */
  private static final long PROBE_INTERVAL_MICROS = 1000 * MICROS_PER_MILLI;

  private final OpenRequests open;
  private final WorkerPool pool;
  private final Counters counters;
  private final EventLog log;
  private final Supplier<StopMode> stopMode;
  private final Actions actions;
  private long sentPolls;
  private long lastAnsweredPoll;
  private boolean awaitsDoubtAnswer;
  private long questionsSentAt;
  private long pollsBeforeQuestions; // polls sent before the questions
  private long idlePolledAt;
  private int idleAnswers;
  private int runsWithLostEnd;

  /**
   * Makes one.
   *
   * @param open the open requests
   * @param pool has the runs
   * @param counters counts questions
   * @param log takes a line for each change
   * @param stopMode what the pool does with stopped runs, by the settings in force
   * @param actions what is done about a run in doubt
   */
  RunReconciler(
      OpenRequests open,
      WorkerPool pool,
      Counters counters,
      EventLog log,
      Supplier<StopMode> stopMode,
      Actions actions) {
    this.open = open;
    this.pool = pool;
    this.counters = counters;
    this.log = log;
    this.stopMode = stopMode;
    this.actions = actions;
  }

  /** How many polls were sent; a command is in doubt until a later poll is answered. */
  long sentPolls() {
    return sentPolls;
  }

  /** The echo of a further poll. */
  String nextPoll() {
    return "t" + ++sentPolls;
  }

  /**
   * All missed notices have been read on a new connection. Commands sent since the last poll that
   * was answered may have been lost with the previous one.
   */
  void resynchronized(long now) {
    int inDoubt = 0;
    for (Exchange run : open.view()) {
      inDoubt += reconcile(run) ? 1 : 0;
    }
    log.write(
        EventNames.POOL_RESYNCHRONIZED
            + " in_pool="
            + open.view().stream().filter(Exchange::isInPool).count()
            + " in_doubt="
            + inDoubt);
    if (inDoubt > 0) {
      sendDoubtPoll(now);
    }
  }

  /**
   * Repeats the command about a run that the pool may not have received. Returns whether the run is
   * in doubt until the pool reports.
   */
  private boolean reconcile(Exchange run) {
    boolean mayBeLost = run.run().pollsBeforeCommand() >= lastAnsweredPoll;
    if (run.isInPool() && run.run().isStopping()) {
      return markInDoubt(run);
    } else if (run.call().isAnswerUnsent()) {
      actions.deliverCallResult(run);
    } else if (run.call().content() != null) {
      counters.add(CounterNames.CALLS_AWAITED_AT_RECONNECT); // no command was sent since
    } else if (run.call().isAnswerSent() && mayBeLost) {
      if (run.isIdempotent() && stopMode.get() == StopMode.ABORT) {
        actions.abort(run); // the result is not repeated, as the run may await its next call by now
      }
    } else if (run.isInPool() && run.state() == Exchange.State.RUNNING && mayBeLost) {
      return reconcileRunning(run);
    } else if (run.isInPool() && !run.isPending() && mayBeLost) {
      return markInDoubt(run); // not stopped, as runs cannot be; its start may be lost
    }
    return false;
  }

  private boolean reconcileRunning(Exchange run) {
    if (run.run().isBegun()) {
      run.runResumed(sentPolls);
      pool.resumeRun(run.request().id());
    } else if (run.isIdempotent() || !run.run().isSent()) {
      actions.retryStart(run);
    } else if (stopMode.get() == StopMode.SUSPEND) {
      return markInDoubt(run);
    } // else a stop would abort it: it waits for its end or its deadline
    return false;
  }

  private boolean markInDoubt(Exchange run) {
    run.run().setInDoubt(true);
    if (stopMode.get() != StopMode.NONE) {
      pool.stopRun(run.request().id());
    }
    return true;
  }

  private void sendDoubtPoll(long now) {
    awaitsDoubtAnswer = true;
    questionsSentAt = now;
    pollsBeforeQuestions = sentPolls;
    pool.requestGauges(DOUBT_POLL);
  }

  /**
   * The pool has answered a poll, so it has read all commands sent before.
   *
   * @param echo the echo of the poll
   * @param runnable the number of runnable threads, or -1 where it is unknown
   */
  void pollAnswered(String echo, double runnable) {
    if (echo.equals(IDLE_POLL)) {
      idleAnswers = runnable == 0 ? idleAnswers + 1 : 0;
      return;
    }
    long number = number(echo);
    lastAnsweredPoll = Math.max(lastAnsweredPoll, number);
    if (awaitsDoubtAnswer && (echo.equals(DOUBT_POLL) || number > pollsBeforeQuestions)) {
      awaitsDoubtAnswer = false;
      resolve();
    }
  }

  /** The number of a poll of {@link #nextPoll} that has been sent, or -1. */
  private long number(String echo) {
    if (!NUMBERED.matcher(echo).matches()) {
      return -1;
    }
    long number = Long.parseLong(echo, 1, echo.length(), 10);
    return number <= sentPolls ? number : -1;
  }

  /** The pool has read all questions, and did not report the runs that are still in doubt. */
  private void resolve() {
    for (Exchange run : open.snapshot()) {
      if (!run.run().isInDoubt()) {
        continue;
      }
      run.run().setInDoubt(false);
      if (run.isPending()) {
        actions.retryStart(run);
      } else {
        probe(run);
      }
    }
  }

  /**
   * Asks by a start whether the pool has a run of a request that has ended: it reports the request
   * as stale, or does nothing to the run.
   */
  private void probe(Exchange run) {
    counters.add(CounterNames.RUNS_PROBED);
    log.write(EventNames.RUN_IN_DOUBT + " id=" + run);
    boolean runsOnceAtMost =
        run.isIdempotent()
            || stopMode.get() != StopMode.ABORT; // an abort under way may have thrown its work away
    if (runsOnceAtMost) {
      pool.startRun(run);
    }
    if (stopMode.get() != StopMode.NONE) {
      pool.stopRun(run.request().id());
    }
  }

  /** The connection is lost; the questions are sent again after the next resynchronization. */
  void poolDisconnected() {
    awaitsDoubtAnswer = false;
    idleAnswers = 0;
  }

  /** Repeats polls without an answer and stops without effect, and looks for lost runs. */
  void watch(long now) {
    if (!pool.isReady()) {
      return;
    }
    if (awaitsDoubtAnswer && now - questionsSentAt >= REPEAT_POLL_MICROS) {
      questionsSentAt = now;
      pool.requestGauges(DOUBT_POLL);
    }
    runsWithLostEnd = 0;
    for (Exchange run : open.snapshot()) {
      repeatStop(run, now);
      if (!run.isPending() && now >= run.deadline() + END_LOST_MICROS) {
        endIsLost(run, now);
      }
    }
    if (runsWithLostEnd > 0 && now - idlePolledAt >= IDLE_POLL_INTERVAL_MICROS) {
      idlePolledAt = now;
      pool.requestGauges(IDLE_POLL);
    }
  }

  private void repeatStop(Exchange run, long now) {
    if (run.isInPool() && run.run().isStopping() && now >= run.run().repeatStopAt()) {
      run.run().setRepeatStopAt(now + REPEAT_STOP_MICROS);
      pool.stopRun(run.request().id());
    }
  }

  private void endIsLost(Exchange run, long now) {
    if (idleAnswers >= REQUIRED_IDLE_ANSWERS) {
      counters.add(CounterNames.LOST_RUNS);
      log.write(EventNames.LOST_RUN + " id=" + run);
      actions.giveUp(run);
      return;
    }
    runsWithLostEnd++;
    if (now >= run.deadline() + END_LOST_MICROS + PROBE_INTERVAL_MICROS
        && now >= run.run().probeAt()) {
      run.run().setProbeAt(now + PROBE_INTERVAL_MICROS);
      probe(run);
    }
  }
}
