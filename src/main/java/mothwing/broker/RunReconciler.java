package mothwing.broker;

import java.util.function.Supplier;
import java.util.regex.Pattern;
import mothwing.control.StopMode;

/**
 * Reconciles the runs in doubt after a reconnect to the worker pool: those whose last command, or
 * whose end, may have been lost with the previous connection.
 *
 * <p>Invariant: a run has ended only when the pool has reported its end. The absence of a report
 * proves nothing, since a pool whose cores hang still answers polls. Until that report the
 * controller counts the run as running, regardless of the number of reconnects.
 *
 * <table>
 * <caption>The commands that are sent again, by what is known of the run</caption>
 * <tr><th>run</th><th>command</th><th>report that resolves the doubt</th></tr>
 * <tr><td>being stopped</td><td>the stop; if no report precedes the answer to a later poll, also
 * the start, which has no effect on an existing run and makes the pool report a request that has
 * ended as {@code stale}</td><td>aborted, done, crashed, stale</td></tr>
 * <tr><td>paused and resumed</td><td>the resume</td><td>its end</td></tr>
 * <tr><td>started; idempotent, or never written to a connection</td><td>the start</td>
 * <td>its end</td></tr>
 * <tr><td>started; at most once</td><td>a stop: a report that it was stopped proves that it ran,
 * and it is resumed; without a report, the start</td><td>its end</td></tr>
 * </table>
 *
 * <p>Used on the event loop's thread only. Keeps no list of requests.
 */
final class RunReconciler {
  /** The actions on runs in doubt. */
  interface Actions {
    /** Sends the start of a run again. */
    void retryStart(Exchange exchange);

    /** Resumes a run with the answer to its call that was not written to a connection yet. */
    void deliverCallResult(Exchange exchange);

    /** Aborts a run. */
    void abort(Exchange exchange);

    /** Gives up a lost run. */
    void giveUp(Exchange exchange);
  }

  /** The echo of the poll whose answer resolves the runs in doubt. */
  private static final String DOUBT_POLL_ECHO = "resolve";

  /** The echo of a poll for whether any thread of the pool is runnable. */
  private static final String IDLE_POLL_ECHO = "idle";

  /** Matches the echoes of {@link #nextPoll}; a pool may send any other text. */
  private static final Pattern NUMBERED_ECHO = Pattern.compile("t[0-9]{1,18}");

  private static final long MICROS_PER_MILLI = 1000;

  /**
   * The delay before an unanswered poll is repeated, ten times the round trip on a busy machine.
   */
  private static final long REPEAT_POLL_MICROS = 300 * MICROS_PER_MILLI;

  /** The delay before a stop without effect is repeated, as cores that hung may have recovered. */
  static final long REPEAT_STOP_MICROS = 500 * MICROS_PER_MILLI;

  /** The time after its request's deadline from which the end of a run counts as lost. */
  private static final long END_LOST_MICROS = 10_000 * MICROS_PER_MILLI;

  /** The interval of polls for whether any thread is runnable, while the end of a run is lost. */
  private static final long IDLE_POLL_INTERVAL_MICROS = 100 * MICROS_PER_MILLI;

  /**
   * The number of consecutive idle answers after which nothing runs. A single one is no proof, as a
   * run may be waiting for the disk.
   */
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
  private boolean awaitingDoubtAnswer;
  private long doubtPollSentAt;
  private long pollsBeforeDoubtPoll;
  private long idlePolledAt;
  private int idleAnswers;
  private int runsWithLostEnd;

  /**
   * Creates a reconciler without runs in doubt.
   *
   * @param open the open requests
   * @param pool the worker pool that has the runs
   * @param counters the counters of probes and lost runs
   * @param log receives the log lines
   * @param stopMode the stop mode of the settings in force
   * @param actions the actions on runs in doubt
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

  /** The number of polls sent; a command is in doubt until a later poll is answered. */
  long sentPolls() {
    return sentPolls;
  }

  /** Counts another poll and returns its echo. */
  String nextPoll() {
    return "t" + ++sentPolls;
  }

  /**
   * Reconciles all runs after the missed notices have been read on a new connection. Commands sent
   * since the last answered poll may have been lost with the previous connection.
   */
  void resynchronized(long now) {
    int inDoubt = 0;
    for (Exchange exchange : open.view()) {
      inDoubt += reconcile(exchange) ? 1 : 0;
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
   * Repeats the last command for a run if the pool may not have received it. Returns whether the
   * run is in doubt until the next report of the pool.
   */
  private boolean reconcile(Exchange exchange) {
    boolean mayBeLost = exchange.run().pollsBeforeCommand() >= lastAnsweredPoll;
    if (exchange.isInPool() && exchange.run().isStopping()) {
      return markInDoubt(exchange);
    } else if (exchange.call().isResumeUnsent()) {
      actions.deliverCallResult(exchange);
    } else if (exchange.call().content() != null) {
      // the run reported the call after its last command, so no command is lost
      counters.add(CounterNames.CALLS_AWAITED_AT_RECONNECT);
    } else if (exchange.call().isResumeSent() && mayBeLost) {
      if (exchange.isIdempotent() && stopMode.get() == StopMode.ABORT) {
        // the result is not sent again, because the run may already await its next call
        actions.abort(exchange);
      }
    } else if (exchange.isInPool() && exchange.state() == Exchange.State.RUNNING && mayBeLost) {
      return reconcileRunning(exchange);
    } else if (exchange.isInPool() && !exchange.isPending() && mayBeLost) {
      // no stop is pending, for example as the pool cannot stop runs; its start may be lost
      return markInDoubt(exchange);
    }
    return false;
  }

  private boolean reconcileRunning(Exchange exchange) {
    if (exchange.run().isKnownToHaveRun()) {
      exchange.runResumed(sentPolls);
      pool.resumeRun(exchange.request().id());
    } else if (exchange.isIdempotent() || !exchange.run().isSent()) {
      actions.retryStart(exchange);
    } else if (stopMode.get() == StopMode.SUSPEND) {
      return markInDoubt(exchange);
    }
    // if no branch applies, neither a start nor a stop is safe: left until its end or its deadline
    return false;
  }

  private boolean markInDoubt(Exchange exchange) {
    exchange.run().setInDoubt(true);
    if (stopMode.get() != StopMode.NONE) {
      pool.stopRun(exchange.request().id());
    }
    return true;
  }

  private void sendDoubtPoll(long now) {
    awaitingDoubtAnswer = true;
    doubtPollSentAt = now;
    pollsBeforeDoubtPoll = sentPolls;
    pool.requestGauges(DOUBT_POLL_ECHO);
  }

  /**
   * Handles the answer to a poll, which proves that the pool has read all commands sent before it.
   *
   * @param echo the echo of the poll
   * @param runnable the number of runnable threads, or -1 if it is unknown
   */
  void pollAnswered(String echo, double runnable) {
    if (echo.equals(IDLE_POLL_ECHO)) {
      idleAnswers = runnable == 0 ? idleAnswers + 1 : 0;
      return;
    }
    long number = pollNumber(echo);
    lastAnsweredPoll = Math.max(lastAnsweredPoll, number);
    if (awaitingDoubtAnswer && (echo.equals(DOUBT_POLL_ECHO) || number > pollsBeforeDoubtPoll)) {
      awaitingDoubtAnswer = false;
      resolve();
    }
  }

  /** The number of the poll with this echo, or -1 unless {@link #nextPoll} returned the echo. */
  private long pollNumber(String echo) {
    if (!NUMBERED_ECHO.matcher(echo).matches()) {
      return -1;
    }
    long number = Long.parseLong(echo, 1, echo.length(), 10);
    return number <= sentPolls ? number : -1;
  }

  /** Resolves the runs still in doubt, as the pool has read all commands without reporting them. */
  private void resolve() {
    for (Exchange exchange : open.snapshot()) {
      if (!exchange.run().isInDoubt()) {
        continue;
      }
      exchange.run().setInDoubt(false);
      if (exchange.isPending()) {
        actions.retryStart(exchange);
      } else {
        probe(exchange);
      }
    }
  }

  /**
   * Probes for the run of a request that has ended by sending its start, if that cannot run it
   * twice, and a stop, if the pool can stop runs. On a start the pool either reports the request as
   * stale, or has the run and ignores the command.
   */
  private void probe(Exchange exchange) {
    counters.add(CounterNames.RUNS_PROBED);
    log.write(EventNames.RUN_IN_DOUBT + " id=" + exchange);
    // after an abort that is in progress, the start would run the request a second time
    boolean isStartSafe = exchange.isIdempotent() || stopMode.get() != StopMode.ABORT;
    if (isStartSafe) {
      pool.startRun(exchange);
    }
    if (stopMode.get() != StopMode.NONE) {
      pool.stopRun(exchange.request().id());
    }
  }

  /** Discards the pending polls; the next resynchronization determines the runs in doubt again. */
  void poolDisconnected() {
    awaitingDoubtAnswer = false;
    idleAnswers = 0;
  }

  /** Repeats unanswered polls and stops without effect, and detects lost runs. */
  void watch(long now) {
    if (!pool.isReady()) {
      return;
    }
    if (awaitingDoubtAnswer && now - doubtPollSentAt >= REPEAT_POLL_MICROS) {
      doubtPollSentAt = now;
      pool.requestGauges(DOUBT_POLL_ECHO);
    }
    runsWithLostEnd = 0;
    for (Exchange exchange : open.snapshot()) {
      repeatStop(exchange, now);
      if (!exchange.isPending() && now >= exchange.deadline() + END_LOST_MICROS) {
        handleLostEnd(exchange, now);
      }
    }
    if (runsWithLostEnd > 0 && now - idlePolledAt >= IDLE_POLL_INTERVAL_MICROS) {
      idlePolledAt = now;
      pool.requestGauges(IDLE_POLL_ECHO);
    }
  }

  private void repeatStop(Exchange exchange, long now) {
    if (exchange.isInPool()
        && exchange.run().isStopping()
        && now >= exchange.run().repeatStopAt()) {
      exchange.run().setRepeatStopAt(now + REPEAT_STOP_MICROS);
      pool.stopRun(exchange.request().id());
    }
  }

  private void handleLostEnd(Exchange exchange, long now) {
    if (idleAnswers >= REQUIRED_IDLE_ANSWERS) {
      counters.add(CounterNames.LOST_RUNS);
      log.write(EventNames.LOST_RUN + " id=" + exchange);
      actions.giveUp(exchange);
      return;
    }
    runsWithLostEnd++;
    if (now >= exchange.deadline() + END_LOST_MICROS + PROBE_INTERVAL_MICROS
        && now >= exchange.run().probeAt()) {
      exchange.run().setProbeAt(now + PROBE_INTERVAL_MICROS);
      probe(exchange);
    }
  }
}
