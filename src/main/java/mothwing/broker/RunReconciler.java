package mothwing.broker;

import java.util.function.Supplier;
import java.util.regex.Pattern;
import mothwing.control.StopMode;

/**
 * Finds out what became of runs whose last command, or whose end, may have been lost with a link to
 * the worker pool.
 *
 * <p>Invariant: a run is over only once the pool has said so. The absence of a word proves nothing:
 * cores that hang stop no run and say nothing of it, while the pool itself goes on answering. Until
 * the pool's word a run keeps its place in the controller's book, however many links come and go.
 *
 * <p>What the pool is asked:
 *
 * <table>
 * <caption>in doubt, by what is known of the run</caption>
 * <tr><th>run</th><th>asked</th><th>the pool's word that decides</th></tr>
 * <tr><td>to be stopped</td><td>the stop again; if no word came before the answer to a poll behind it, also the start: it does
 * nothing to what runs, and finds a request that is over {@code stale}</td><td>aborted, done, crashed, stale</td></tr>
 * <tr><td>paused and told to go on</td><td>to go on, again</td><td>its end</td></tr>
 * <tr><td>started, may be repeated, or never put on a link</td><td>the start again</td><td>its end</td></tr>
 * <tr><td>started, must run once</td><td>a stop: aborted shows that it runs, and it goes on; no word, the start again</td>
 * <td>its end</td></tr>
 * </table>
 *
 * <p>Thread: the event loop's. It holds no request of its own.
 */
final class RunReconciler {
  /** What the broker does for it. */
  interface Actions {
    /** Hands a run to the pool again. */
    void startAgain(Exchange run);

    /** Sends a call's result, or its absence, that no link has carried yet. */
    void deliverCallResult(Exchange run);

    /** Stops a run for good. */
    void halt(Exchange run);

    /** Gives a run up that the pool shows no trace of. */
    void giveUp(Exchange run);
  }

  /** The echo of the poll behind all that was asked in doubt. */
  private static final String BEHIND_DOUBTS = "resolve";

  /** The echo of a poll that looks whether anything is on the cores. */
  private static final String IDLE_LOOK = "idle";

  /** The echoes of {@link #nextPoll}, as a pool may say anything. */
  private static final Pattern NUMBERED = Pattern.compile("t[0-9]{1,18}");

  private static final long MILLI = 1000;

  /**
   * Microseconds after which a question without an answer is asked again: ten round trips of a busy
   * machine.
   */
  private static final long ASK_AGAIN = 300 * MILLI;

  /**
   * Microseconds after which a stop without effect is said again: cores that hung may work again.
   */
  static final long STOP_AGAIN = 500 * MILLI;

  /** Microseconds past its due time after which a stopped run's end counts as lost. */
  private static final long END_LOST = 10_000 * MILLI;

  /** Microseconds between looks at the cores for runs whose end is lost. */
  private static final long LOOK = 100 * MILLI;

  /**
   * Answers in a row by which nothing is on the cores that prove it: a run may wait for a disk at
   * one of them.
   */
  private static final int IDLE_LOOKS = 3;

  /** Microseconds between further questions about a run whose end is lost. */
  private static final long PROBE_AGAIN = 1000 * MILLI;

  private final OpenRequests open;
  private final WorkerPool workers;
  private final Counters counters;
  private final EventLog log;
  private final Supplier<StopMode> halting;
  private final Actions actions;
  private long polls;
  private long answeredPolls;
  private boolean asking;
  private long askedAt;
  private long askedBehind; // polls that were sent before the question
  private long lookedAt;
  private int idleLooks;
  private int lostRuns;

  /**
   * Makes one.
   *
   * @param open all open exchanges, the broker's own table
   * @param workers the pool
   * @param counters counts what is asked
   * @param log takes a line for each change
   * @param halting what the pool does to stopped runs, now
   * @param actions carried out by the broker
   */
  RunReconciler(
      OpenRequests open,
      WorkerPool workers,
      Counters counters,
      EventLog log,
      Supplier<StopMode> halting,
      Actions actions) {
    this.open = open;
    this.workers = workers;
    this.counters = counters;
    this.log = log;
    this.halting = halting;
    this.actions = actions;
  }

  /** How many polls have been sent: commands are in doubt until a later one is answered. */
  long polls() {
    return polls;
  }

  /** The echo of a further poll. */
  String nextPoll() {
    return "t" + ++polls;
  }

  /**
   * All missed notices have been read on a new link. What was said since the last poll that was
   * answered may have been lost with the one before.
   */
  void caughtUp(long now) {
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
      ask(now);
    }
  }

  /**
   * Says again to the pool what it may not have heard of a run. Says whether its word has to be
   * waited for.
   */
  private boolean reconcile(Exchange run) {
    boolean mayBeLost = run.run().pollsBeforeCommand() >= answeredPolls;
    if (run.isInPool() && run.run().isStopping()) {
      return doubt(run);
    } else if (run.call().isAnswerUnsent()) {
      actions.deliverCallResult(run);
    } else if (run.call().content() != null) {
      counters.add(
          CounterNames.CALLS_AWAITED_AT_RECONNECT); // nothing was said since it told of the call
    } else if (run.call().isAnswerSent() && mayBeLost) {
      if (run.isIdempotent() && halting.get() == StopMode.ABORT) {
        actions.halt(
            run); // the result is not said again: the run may stand at its next call by now
      }
    } else if (run.isInPool() && run.state() == Exchange.State.RUNNING && mayBeLost) {
      return reconcileRunning(run);
    } else if (run.isInPool() && !run.isPending() && mayBeLost) {
      return doubt(run); // runs cannot be stopped here, and its start may have been lost
    }
    return false;
  }

  private boolean reconcileRunning(Exchange run) {
    if (run.run().isBegun()) {
      run.runResumed(polls);
      workers.resumeRun(run.request().id());
    } else if (run.isIdempotent() || !run.run().isSent()) {
      actions.startAgain(run);
    } else if (halting.get() == StopMode.SUSPEND) {
      return doubt(run);
    } // else a stop would throw its work away: it waits for its end, or its due time
    return false;
  }

  private boolean doubt(Exchange run) {
    run.run().setInDoubt(true);
    if (halting.get() != StopMode.NONE) {
      workers.stopRun(run.request().id());
    }
    return true;
  }

  private void ask(long now) {
    asking = true;
    askedAt = now;
    askedBehind = polls;
    workers.requestGauges(BEHIND_DOUBTS);
  }

  /**
   * The pool has answered a poll: it has read all that was said before it.
   *
   * @param echo the word that was sent along
   * @param runnable what wants a core, or -1 where no gauge tells
   */
  void answered(String echo, double runnable) {
    if (echo.equals(IDLE_LOOK)) {
      idleLooks = runnable == 0 ? idleLooks + 1 : 0;
      return;
    }
    long number = number(echo);
    answeredPolls = Math.max(answeredPolls, number);
    if (asking && (echo.equals(BEHIND_DOUBTS) || number > askedBehind)) {
      asking = false;
      resolve();
    }
  }

  /** The number of a poll of {@link #nextPoll} that has been sent, or -1. */
  private long number(String echo) {
    if (!NUMBERED.matcher(echo).matches()) {
      return -1;
    }
    long number = Long.parseLong(echo, 1, echo.length(), 10);
    return number <= polls ? number : -1;
  }

  /** The pool has read all that was asked in doubt, and said nothing of what is still in doubt. */
  private void resolve() {
    for (Exchange run : open.snapshot()) {
      if (!run.run().isInDoubt()) {
        continue;
      }
      run.run().setInDoubt(false);
      if (run.isPending()) {
        actions.startAgain(run);
      } else {
        probe(run);
      }
    }
  }

  /**
   * Asks by a start whether there is a run of a request that is over: the pool finds it stale, or
   * does nothing to what runs.
   */
  private void probe(Exchange run) {
    counters.add(CounterNames.RUNS_PROBED);
    log.write(EventNames.RUN_IN_DOUBT + " id=" + run);
    boolean runsOnceAtMost =
        run.isIdempotent()
            || halting.get() != StopMode.ABORT; // an abort that is on its way threw work away
    if (runsOnceAtMost) {
      workers.startRun(run);
    }
    if (halting.get() != StopMode.NONE) {
      workers.stopRun(run.request().id());
    }
  }

  /**
   * The link has broken: what was asked on it is asked again behind the next one's missed notices.
   */
  void unlinked() {
    asking = false;
    idleLooks = 0;
  }

  /** Looks for questions without an answer, stops without effect and runs whose end is lost. */
  void watch(long now) {
    if (!workers.isReady()) {
      return;
    }
    if (asking && now - askedAt >= ASK_AGAIN) {
      askedAt = now;
      workers.requestGauges(BEHIND_DOUBTS);
    }
    lostRuns = 0;
    for (Exchange run : open.snapshot()) {
      if (run.isInPool() && run.run().isStopping() && now >= run.run().repeatStopAt()) {
        run.run().setRepeatStopAt(now + STOP_AGAIN);
        workers.stopRun(run.request().id());
      }
      if (!run.isPending() && now >= run.deadline() + END_LOST) {
        lostEnd(run, now);
      }
    }
    if (lostRuns > 0 && now - lookedAt >= LOOK) {
      lookedAt = now;
      workers.requestGauges(IDLE_LOOK);
    }
  }

  private void lostEnd(Exchange run, long now) {
    if (idleLooks >= IDLE_LOOKS) {
      counters.add(CounterNames.LOST_RUNS);
      log.write(EventNames.LOST_RUN + " id=" + run);
      actions.giveUp(run);
      return;
    }
    lostRuns++;
    if (now >= run.deadline() + END_LOST + PROBE_AGAIN && now >= run.run().probeAt()) {
      run.run().setProbeAt(now + PROBE_AGAIN);
      probe(run);
    }
  }
}
