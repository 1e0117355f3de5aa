package mothwing.broker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.FreeValue;
import mothwing.control.GaugeSample;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.StopMode;

/**
 * The core: it owns every open request, gives the controller its events in batches a round apart,
 * and carries out what the controller asks for. Fronts bring requests and the callers' leaving; the
 * pool brings the ends of runs and the gauges. It knows no wire, and all of it happens on one
 * thread.
 */
public final class Broker implements ControllerHost {
  /** Most requests open at once; what comes beyond is refused unread by the controller. */
  public static final int MOST_OPEN = 4096;

  /** Most deep health checks in hand; what comes beyond fails. */
  static final int MOST_CHECKS = 64;

  private static final long MILLI = 1000;
  private static final long GAUGES_WAIT =
      500 * MILLI; // over a stall of the machine, which holds timers off
  private static final long CHECK_WAIT = 2000 * MILLI;
  private static final long CALL_SLACK =
      20 * MILLI; // past its limit: the tier below says so itself, over the network
  private static final long MOST_AHEAD_MS =
      1000; // of a stamp before our wall clock, by which nothing is wrong
  private static final String RUNNABLE = "runnable"; // the gauge of what wants a core
  private static final long WATCH = 20 * MILLI; // between looks at due times

  /** One event for the controller. */
  private interface Event {
    void give(Controller controller, long now);
  }

  private record Check(Consumer<Boolean> answer, long until) {}

  private final ActiveSettings inForce;
  private final BiFunction<Settings, ControllerHost, Controller> maker;
  private final WorkerPool workers;
  private final Scheduler timers;
  private DependencyClient below = DependencyClient.UNAVAILABLE;
  private RunClaims claims = RunClaims.UNSHARED;
  private final Counters counters;
  private final EventLog log;
  private final RateLimitedEventLog reasons;
  private final Map<String, Exchange> open = new LinkedHashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Map<String, String> ticks = new LinkedHashMap<>();
  private final Map<String, Check> checks = new LinkedHashMap<>();
  private final IdempotencyKeys keys = new IdempotencyKeys();
  private final Map<String, IdempotencyKeys.Entry> replays =
      new LinkedHashMap<>(); // by the repeat's id
  private Controller controller;
  private final RunReconciler reconciler;
  private long sampledAt;
  private boolean batchAsked;
  private long lastBatch = Long.MIN_VALUE / 2;
  private long checksAsked;
  private double said;
  private boolean checkCheap;
  private boolean checkGood = true;
  private final RequestStatistics statistics = new RequestStatistics();
  private final ShutdownState drainState = new ShutdownState();
  private Consumer<Long> trimmer = span -> {};
  private Runnable onReady = () -> {};
  private BooleanSupplier shed = () -> false;

  /**
   * Makes a broker; the controller is made when the pool says how it started.
   *
   * @param settings the settings of the site
   * @param maker makes the controller
   * @param workers the pool
   * @param timers the clocks
   * @param counters counts what happens
   * @param log takes lines of the log
   */
  public Broker(
      Settings settings,
      BiFunction<Settings, ControllerHost, Controller> maker,
      WorkerPool workers,
      Scheduler timers,
      Counters counters,
      EventLog log) {
    inForce = new ActiveSettings(settings);
    this.maker = maker;
    this.workers = workers;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
    inForce.classNames().forEach(statistics::register);
    reasons = new RateLimitedEventLog(log, timers);
    reconciler =
        new RunReconciler(
            open, workers, counters, log, () -> settings().machine().stopMode(), new Reconciled());
  }

  /**
   * Takes new settings whole. Classes and tenants keep their places by name; open requests go on
   * under the class and the deadline that they were read under, and counts stay.
   *
   * @param settings the new settings of the site
   */
  public void applySettings(Settings settings) {
    FreeValue meant = settings().signals().freeValue();
    inForce.apply(settings, open.values());
    if (settings().signals().freeValue()
        != meant) { // what was said would now be read as something else
      said = settings().signals().freeValue() == FreeValue.SHARE ? 1 : 0;
    }
    inForce.classNames().forEach(statistics::register);
    if (controller != null) {
      Settings now = inForce.settings();
      enqueue((to, at) -> to.settingsChanged(at, now));
    }
  }

  private Settings settings() {
    return inForce.settings();
  }

  /**
   * Microseconds to stay away that a refusal may advise; 0 where the settings have no advice passed
   * on.
   */
  private long longestAdvice() {
    return settings().signals().retryAfterHonoured() ? settings().signals().maxRetryAfter() : 0;
  }

  /**
   * Says what to do once the pool is up and requests are taken.
   *
   * @param work done once
   */
  public void whenReady(Runnable work) {
    onReady = work;
  }

  /**
   * Says who closes idle connections.
   *
   * @param closer takes the idle span in microseconds
   */
  public void setIdleConnectionCloser(Consumer<Long> closer) {
    trimmer = closer;
  }

  /**
   * Says who knows what this process cannot even decide.
   *
   * @param asked asked once for each request; true where it is to be refused undecided
   */
  public void setOverloadCheck(BooleanSupplier asked) {
    shed = asked;
  }

  /**
   * Says who makes the calls of runs that stand at one.
   *
   * @param tier the tier below
   */
  public void setDependencyClient(DependencyClient tier) {
    below = tier;
  }

  /**
   * Says with whom runs of guarded requests are shared.
   *
   * @param shared grants them, among all processes at this address
   */
  public void setRunClaims(RunClaims shared) {
    claims = shared;
  }

  // what fronts bring

  /**
   * Whether a request that was read is to be refused at once, before its fields are looked at: this
   * process is so far behind that deciding would cost more than it has. Such a request is counted
   * as refused.
   *
   * @param path the path it was sent to; what is of no class is never refused so
   * @return the milliseconds to stay away that the refusal advises, or -1 where the request is to
   *     be {@link #submit}
   */
  public long retryAfterIfOverloaded(String path) {
    if (controller == null
        || drainState.isDraining()
        || !path.startsWith(InboundRequest.PATH_PREFIX)
        || !shed.getAsBoolean()) {
      return -1;
    }
    String kind = path.substring(InboundRequest.PATH_PREFIX.length());
    if (inForce.findClass(kind) == null) {
      return -1;
    }
    counters.add("read");
    counters.add("refused-behind");
    statistics.recordEnd(kind, RequestStatistics.End.REJECTED);
    return longestAdvice() / MILLI;
  }

  /**
   * Takes a request that was read whole.
   *
   * @param arrival the request
   * @param caller the way back
   * @return its exchange
   */
  public Exchange submit(InboundRequest arrival, ResponseSink caller) {
    counters.add("read");
    long now = timers.now();
    RequestClass kind = inForce.findClass(arrival.className());
    long unread = kind == null ? 0 : unread(arrival, kind);
    Exchange exchange =
        new Exchange(
            arrival,
            caller,
            kind != null && kind.idempotency() == Idempotency.SAFE,
            now,
            now - unread,
            now - unread + (kind == null ? 0 : waits(arrival, kind)),
            inForce.classIndex(arrival.className()),
            inForce.tenantIndex(arrival.tenant()),
            kind != null
                    && kind.idempotency() == Idempotency.GUARDED
                    && arrival.idempotencyKey() != null
                ? kind.idempotencyWindow()
                : 0);
    if (kind == null) {
      fail(exchange, "unknown-class");
    } else if (!inForce.isKnownTenant(arrival.tenant())) {
      fail(exchange, "unknown-tenant");
    } else if (open.containsKey(arrival.id())) {
      fail(exchange, "repeated-trace-id");
    } else if (controller == null) {
      refuse(exchange, "not-ready", false, longestAdvice() / MILLI);
    } else if (open.size() >= MOST_OPEN) {
      refuse(exchange, "table-full", false, longestAdvice() / MILLI);
    } else if (!keys.room(exchange)) {
      refuse(exchange, "keys-full", false, longestAdvice() / MILLI);
    } else {
      open.put(arrival.id(), exchange);
      enqueue((to, at) -> deliver(exchange, to, at));
    }
    return exchange;
  }

  /**
   * For how long it lay unread: the one place where wall time is turned into a span of the
   * monotonic clock. Between the stamp and this moment the wall clock may have stepped; a stamp
   * ahead of it, or older than its class waits in all, says nothing.
   */
  private long unread(InboundRequest arrival, RequestClass kind) {
    long ms = timers.wallClockMillis() - arrival.acceptedAtMs();
    boolean believed = ms >= -MOST_AHEAD_MS && ms <= kind.deadline() / MILLI;
    if (!believed) {
      counters.add("stamps-not-believed");
    }
    return believed ? Math.max(0, ms * MILLI) : 0;
  }

  /**
   * For how long its caller waits from its arrival on: what it tells, but no longer than its class
   * has it.
   */
  private static long waits(InboundRequest arrival, RequestClass kind) {
    boolean told =
        arrival.maxWaitMs() != InboundRequest.NOT_STATED
            && arrival.maxWaitMs() < kind.deadline() / MILLI;
    return told ? arrival.maxWaitMs() * MILLI : kind.deadline();
  }

  /**
   * Which try it repeats is asked only now: those read before it in this round have been decided.
   */
  private void deliver(Exchange one, Controller to, long at) {
    InboundRequest arrival = one.request();
    IdempotencyKeys.Entry before = keys.repeated(one);
    if (before != null && !before.sameBody(one)) {
      fail(one, "key-of-another");
      forgetUnlessRunning(one);
      return;
    }
    if (before != null) {
      counters.add("repeats");
    }
    one.held();
    to.requestRead(
        at,
        new Request(
            arrival.id(),
            one.classIndex(),
            one.tenantIndex(),
            0,
            at - one.arrivedAt(),
            arrival.cacheKey(),
            arrival.memoryKb(),
            before == null ? null : before.id(),
            arrival.rank(),
            arrival.maxWaitMs() == InboundRequest.NOT_STATED ? 0 : one.deadline(),
            !one.isIdempotent()));
  }

  /**
   * The caller of a request has left.
   *
   * @param exchange the request
   */
  public void cancelled(Exchange exchange) {
    if (!exchange.gone()) {
      return;
    }
    counters.add("gone");
    String id = exchange.request().id();
    if (open.get(id) == exchange) {
      abandonCall(exchange);
      enqueue(
          (to, at) -> {
            if (!exchange.isInPool()) {
              open.remove(id, exchange);
            }
            to.requestCancelled(at, id);
          });
    }
  }

  /**
   * Answers a health check.
   *
   * @param probe whether the caller wants to know that work gets done
   * @param answer takes whether the check is good, once
   */
  public void healthCheck(boolean probe, Consumer<Boolean> answer) {
    counters.add("checks");
    if (controller == null || checkCheap || !probe || !isHealthy()) {
      answer.accept(controller != null && isHealthy());
    } else if (!workers.isReady() || checks.size() >= MOST_CHECKS) {
      answer.accept(false);
    } else {
      String echo = "c" + ++checksAsked;
      checks.put(echo, new Check(answer, timers.now() + CHECK_WAIT));
      workers.startHealthCheck(echo);
    }
  }

  /** What a health check may say at the best. */
  private boolean isHealthy() {
    return drainState.isHealthy(checkGood);
  }

  /**
   * Sends gateways away by bad health checks, or ends that. All that arrives is answered as usual.
   * It may be said twice; deep checks under way end by what holds when their work is done.
   *
   * @param now whether gateways are to go
   * @return false after the notice to leave, in which case nothing has changed
   */
  public boolean outOfRotation(boolean now) {
    boolean before = drainState.outOfRotation();
    if (!drainState.outOfRotation(now)) {
      return false;
    }
    if (now != before) {
      log.write((now ? "away" : "back") + " owed=" + pendingCount());
    }
    return true;
  }

  /**
   * Whether gateways are sent away.
   *
   * @return true from the call until the one that ends it
   */
  public boolean outOfRotation() {
    return drainState.outOfRotation();
  }

  /**
   * Whether requests are decided here: the pool is up, and the notice to leave has not come.
   *
   * @return true if so
   */
  public boolean isServing() {
    return controller != null && !drainState.isDraining();
  }

  /**
   * What operators are told of requests.
   *
   * @return the counts by class, and the requests that are owed an answer as {@code pending}
   */
  public Map<String, Object> statistics() {
    Map<String, Object> all = statistics.snapshot();
    all.put("pending", pendingCount());
    return all;
  }

  /**
   * The free value that goes out with answers.
   *
   * @return the value, or none where the settings give it no meaning, or one about which the
   *     decisions say nothing: callers would read a 0 as a window for no request at all
   */
  public OptionalDouble freeValue() {
    FreeValue meaning = settings().signals().freeValue();
    return meaning == FreeValue.LEVEL || meaning == FreeValue.SHARE
        ? OptionalDouble.of(said)
        : OptionalDouble.empty();
  }

  /**
   * Whether the notice to leave has come.
   *
   * @return true if so
   */
  public boolean isDraining() {
    return drainState.isDraining();
  }

  /**
   * How many requests are still owed an answer.
   *
   * @return their number
   */
  public long pendingCount() {
    return open.values().stream().filter(Exchange::isPending).count();
  }

  /**
   * The counts so far.
   *
   * @return one line of {@code name=value} words
   */
  public String counts() {
    return "in_hand=" + open.size() + " owed=" + pendingCount() + " " + counters;
  }

  /**
   * The notice to leave. Where another process takes clients at the same address, this one hands
   * over: it says nothing that keeps gateways away, and runs for a while what still comes.
   *
   * @param noticeAt when it came
   * @param stopAt when the process is stopped
   * @param handover whether another process takes clients at the same address
   */
  public void drain(long noticeAt, long stopAt, boolean handover) {
    if (drainState.isDraining()) {
      return;
    }
    drainState.begin(noticeAt, stopAt, settings().rules().drainGracePeriod(), handover);
    log.write(
        "drain owed="
            + pendingCount()
            + " stop_ms="
            + (stopAt - noticeAt) / MILLI
            + " handover="
            + handover);
    if (controller != null) { // the notice may come before the pool is up
      if (drainState.admissionClosesAt() > timers.now()) {
        timers.schedule(drainState.admissionClosesAt(), this::requestShutdown);
      } else {
        requestShutdown();
      }
    }
  }

  /**
   * The process ends now: whatever is still owed an answer, late as the controller may be, is
   * failed.
   */
  public void failPending() {
    for (Exchange one : new ArrayList<>(open.values())) {
      if (one.isPending()) {
        fail(one, "leaving");
        forgetUnlessRunning(one);
      }
    }
  }

  private void requestShutdown() {
    enqueue((to, at) -> to.shutdownRequested(at, drainState.stopAt()));
  }

  // what the pool brings

  /**
   * The pool has taken the link; what follows are the notices that were missed.
   *
   * @param fresh whether it was cold at its start
   * @param age microseconds since that start
   */
  public void poolConnected(boolean fresh, long age) {
    if (controller != null) {
      return;
    }
    inForce.setColdStart(fresh);
    controller = maker.apply(settings(), this);
    sampledAt = timers.now();
    log.write("ready cold=" + fresh + " age_ms=" + age / MILLI);
    controller.serverStarted(timers.now() - age);
    timers.schedule(timers.now() + WATCH, this::enforceDeadlines);
    if (drainState.isDraining()) {
      requestShutdown();
    }
    onReady.run();
  }

  /**
   * The missed notices have been read: what may have been lost with the link before is asked about.
   */
  public void resynchronized() {
    reconciler.caughtUp(timers.now());
  }

  private final class Reconciled implements RunReconciler.Actions {
    @Override
    public void startAgain(Exchange run) {
      counters.add("spawned-again");
      reasons.write("started-again", run, "relinked");
      dispatch(run);
    }

    @Override
    public void deliverCallResult(Exchange run) {
      resume(run, run.result());
    }

    @Override
    public void halt(Exchange run) {
      Broker.this.stopRun(run.request().id());
    }

    @Override
    public void giveUp(Exchange run) {
      runEnded(run.request().id(), RunOutcome.NOT_STARTED, 0, null);
    }
  }

  /** The link to the pool has broken: timers do not wait for gauges any longer, and checks fail. */
  public void poolDisconnected() {
    reconciler.unlinked();
    for (String echo : new ArrayList<>(ticks.keySet())) {
      deliverSample(echo, absentSample());
    }
    for (String echo : new ArrayList<>(checks.keySet())) {
      healthCheckEnded(echo, false);
    }
  }

  /**
   * A run is over.
   *
   * @param id the request
   * @param outcome how it ended
   * @param took microseconds it took
   * @param result the result of a good run
   */
  public void runEnded(String id, RunOutcome outcome, long took, byte[] result) {
    counters.add("finished-" + outcome.name().toLowerCase(Locale.ROOT));
    Exchange one = open.get(id);
    if (one == null || !one.isInPool()) {
      counters.add("finished-unasked");
      return;
    }
    abandonCall(one);
    if (outcome == RunOutcome.STOPPED
        && one.isPending()
        && !one.stopping()
        && settings().machine().stopMode() == StopMode.SUSPEND) {
      one.stopped(
          true); // it did run, and was stopped only to find that out: the controller need not know
      one.resumed(reconciler.polls());
      workers.resumeRun(id);
      return;
    }
    if (outcome == RunOutcome.STOPPED) {
      one.stopped(settings().machine().stopMode() == StopMode.SUSPEND);
    } else {
      one.left();
    }
    if (!one.isInPool()) {
      keys.ended(one, outcome, result);
    }
    if (outcome == RunOutcome.SUCCEEDED) {
      served(one, result);
    } else if (outcome != RunOutcome.STOPPED) {
      fail(one, outcome == RunOutcome.NOT_STARTED ? "stale" : "crashed");
    }
    if (!one.isInPool() && !one.isPending()) {
      open.remove(id);
    }
    enqueue((to, at) -> to.runEnded(at, id, outcome, took));
    answerReplays();
  }

  /**
   * A run stands at a call.
   *
   * @param id the request
   * @param content what it asks of the tier below
   */
  public void runAwaitsCall(String id, byte[] content) {
    Exchange one = open.get(id);
    if (one == null || !one.isInPool()) {
      counters.add("blocked-unasked");
      return;
    }
    counters.add("blocked");
    abandonCall(one);
    one.atCall(content);
    enqueue((to, at) -> to.callAwaited(at, id));
  }

  /**
   * A call is over.
   *
   * @param id the request
   * @param outcome how it ended
   * @param result what came back, where it succeeded
   */
  public void callEnded(String id, RunOutcome outcome, byte[] result) {
    Exchange one = open.get(id);
    if (one == null || !one.callOver()) {
      counters.add("call-unasked");
      return;
    }
    counters.add("call-" + outcome.name().toLowerCase(Locale.ROOT));
    if (outcome == RunOutcome.SUCCEEDED) {
      resume(one, result);
    }
    enqueue((to, at) -> to.callEnded(at, id, outcome, 0));
  }

  /**
   * A run that stands at a call goes on with this, or without it for null, now or once the pool can
   * be told.
   */
  private void resume(Exchange one, byte[] result) {
    boolean onLink = workers.isReady();
    one.supplied(result, reconciler.polls(), onLink);
    if (onLink && result != null) {
      workers.resumeWithResult(one.request().id(), result);
    } else if (onLink) {
      workers.resumeWithoutResult(one.request().id());
    }
  }

  private void abandonCall(Exchange one) {
    if (one.callOver()) {
      counters.add("call-abandoned");
      below.abandonCall(one.request().id());
    }
  }

  /**
   * The gauges that were asked for.
   *
   * @param echo the word that was sent along
   * @param meters the gauges
   */
  public void gaugesReceived(String echo, double[] meters) {
    boolean whole = meters.length == settings().machine().gaugeNames().size();
    if (whole) {
      sampledAt = timers.now();
    }
    int runnable = settings().machine().gaugeNames().indexOf(RUNNABLE);
    reconciler.answered(echo, whole && runnable >= 0 ? meters[runnable] : -1);
    deliverSample(echo, whole ? GaugeSample.of(meters) : absentSample());
  }

  /** No gauges of this moment are known; they are never those of an answer before. */
  private GaugeSample absentSample() {
    return GaugeSample.absent(Math.max(0, timers.now() - sampledAt));
  }

  /**
   * A deep health check is over.
   *
   * @param echo the word that was sent along
   * @param good whether the work was done
   */
  public void healthCheckEnded(String echo, boolean good) {
    Check check = checks.remove(echo);
    if (check != null) {
      check.answer().accept(good && isHealthy());
    }
  }

  private void deliverSample(String echo, GaugeSample sample) {
    String tag = ticks.remove(echo);
    if (tag != null) {
      enqueue((to, at) -> to.timerFired(at, tag, sample));
    }
  }

  // batches

  private void enqueue(Event event) {
    events.add(event);
    if (!batchAsked) {
      batchAsked = true;
      timers.schedule(
          Math.max(timers.now(), lastBatch + settings().batchInterval()), this::deliverBatch);
    }
  }

  private void deliverBatch() {
    batchAsked = false;
    long now = timers.now();
    lastBatch = now;
    Event event;
    while ((event = events.poll()) != null) {
      Event one = event;
      runSafely(() -> one.give(controller, now));
    }
    runSafely(() -> controller.batchEnded(now));
  }

  /**
   * A failure of the decision code costs the event in hand, not the process; due times are still
   * kept.
   */
  private void runSafely(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException broken) {
      counters.add("controller-faults");
      log.write(
          "controller-fault "
              + broken
              + (broken.getStackTrace().length > 0 ? " at=" + broken.getStackTrace()[0] : ""));
    }
  }

  /**
   * Looks for due times: a batch lets the controller answer; what it then still owes is failed
   * here.
   */
  private void enforceDeadlines() {
    long now = timers.now();
    timers.schedule(now + WATCH, this::enforceDeadlines);
    boolean due = false;
    List<Exchange> silent = new ArrayList<>();
    List<Exchange> overdue = new ArrayList<>();
    for (Exchange one : open.values()) {
      due |= one.isPending() && now >= one.deadline() - WATCH;
      if (one.calling() && now >= one.callUntil()) {
        silent.add(one);
      }
      if (one.isPending() && now >= one.deadline() + settings().rules().answerSlack() / 2) {
        overdue.add(one);
      }
    }
    for (Exchange one : silent) {
      below.abandonCall(one.request().id());
      callEnded(one.request().id(), RunOutcome.TIMED_OUT, null);
    }
    for (Exchange one : overdue) {
      counters.add("overdue");
      log.write("overdue id=" + one);
      fail(one, "overdue");
      forgetUnlessRunning(one);
    }
    reconciler.watch(now);
    if (due) {
      enqueue((to, at) -> {});
    }
    answerReplays();
    keys.expire(now);
    for (Map.Entry<String, Check> one : new ArrayList<>(checks.entrySet())) {
      if (now >= one.getValue().until()) {
        healthCheckEnded(one.getKey(), false);
      }
    }
  }

  private void forgetUnlessRunning(Exchange one) {
    if (!one.isInPool()) {
      open.remove(one.request().id(), one);
    }
  }

  // answers

  private void served(Exchange one, byte[] result) {
    if (one.serve(result)) {
      counters.add("served");
      count(one, RequestStatistics.End.COMPLETED);
    }
  }

  private void refuse(Exchange one, String code, boolean last, long holdOffMs) {
    if (one.refuse(last, holdOffMs)) {
      counters.add("refused-" + code);
      reasons.write("refused", one, code);
      count(one, RequestStatistics.End.REJECTED);
    }
  }

  private void fail(Exchange one, String code) {
    if (one.fail(code)) {
      abandonCall(one);
      counters.add("failed-" + code);
      reasons.write("failed", one, code);
      count(one, RequestStatistics.End.FAILED);
    }
  }

  private void count(Exchange one, RequestStatistics.End end) {
    if (one.classIndex() >= 0) { // names that nobody knows must not fill the table
      statistics.recordEnd(one.request().className(), end);
    }
  }

  private void dispatch(Exchange one) {
    keys.begins(one);
    if (one.started(reconciler.polls(), workers.startRun(one))) {
      statistics.recordDispatch(one.request().className());
    }
  }

  // actions of the controller

  @Override
  public void startRun(String id) {
    Exchange one = open.get(id);
    if (one == null || !one.isPending() || one.state() == Exchange.State.RUNNING) {
      return;
    }
    if (one.state() == Exchange.State.PAUSED) {
      one.resumed(reconciler.polls());
      workers.resumeRun(id);
    } else if (one.hasRun() && !one.isIdempotent()) {
      fail(one, "ran-before"); // a stop threw its work away: it may have had its effect
      forgetUnlessRunning(one);
    } else if (keys.ranBefore(one)) {
      fail(
          one,
          "ran-before"); // whatever the controller says: a repeat is answered from the run there
      // was
      notStarted(id);
    } else if (!drainState.mayStillRun(one.readAt())) {
      refuse(one, "drained", false, drainState.retryAfter(longestAdvice()) / MILLI);
      notStarted(id);
    } else if (!claimed(one)) {
      notStarted(id);
    } else {
      counters.add("spawned");
      dispatch(one);
    }
  }

  /** The controller counts what it starts as running until it hears of an end. */
  private void notStarted(String id) {
    open.remove(id);
    enqueue((to, at) -> to.runEnded(at, id, RunOutcome.NOT_STARTED, 0));
  }

  /** Whether this process may run a guarded request; where it may not, its caller has been told. */
  private boolean claimed(Exchange one) {
    if (!one.hasIdempotencyKey()) {
      return true;
    }
    long span = one.arrivedAt() + one.window() + IdempotencyKeys.READ_LATE - timers.now();
    RunClaims.Claim claim = claims.claim(IdempotencyKeys.key(one), span);
    switch (claim) {
      case HELD, UNKNOWN ->
          fail(one, claim == RunClaims.Claim.HELD ? "ran-beside" : "claim-unknown");
      case FULL -> refuse(one, "keys-full", false, longestAdvice() / MILLI);
      default -> {}
    }
    return claim == RunClaims.Claim.GRANTED;
  }

  @Override
  public void stopRun(String id) {
    Exchange one = open.get(id);
    if (one != null && one.isInPool() && !one.stopping()) {
      one.stop(timers.now() + RunReconciler.STOP_AGAIN);
      counters.add("suspended");
      workers.stopRun(id);
    }
  }

  @Override
  public void rejectRequest(String id, boolean dontRetry, long stayAway) {
    Exchange one = open.get(id);
    if (one == null) {
      return;
    }
    if (one.hasRun() && !one.isIdempotent()) {
      fail(one, "ran-before"); // a refusal promises that nothing ran
    } else {
      refuse(one, "decided", dontRetry, (drainState.retryAfter(stayAway) + MILLI - 1) / MILLI);
    }
    forgetUnlessRunning(one);
  }

  @Override
  public void failRequest(String id) {
    Exchange one = open.get(id);
    if (one != null) {
      fail(one, "decided");
      forgetUnlessRunning(one);
    }
  }

  @Override
  public void scheduleTimer(long at, String tag) {
    timers.schedule(at, () -> timerDue(tag));
  }

  /** The gauges of the moment go with a timer, or the age of the last ones that were known. */
  private void timerDue(String tag) {
    if (!workers.isReady()) {
      GaugeSample none = absentSample();
      enqueue((to, at) -> to.timerFired(at, tag, none));
      return;
    }
    String echo = reconciler.nextPoll();
    ticks.put(echo, tag);
    workers.requestGauges(echo);
    timers.schedule(
        timers.now() + GAUGES_WAIT,
        () -> {
          if (ticks.containsKey(echo)) {
            counters.add("gauges-late");
            deliverSample(echo, absentSample());
          }
        });
  }

  @Override
  public void publishFreeValue(double value) {
    if (!drainState
        .isHandingOver()) { // the free value would be taken for that of the process that follows
      said = value;
    }
  }

  @Override
  public void setHealth(boolean cheap, boolean good) {
    checkCheap = cheap;
    checkGood = good;
  }

  @Override
  public void closeIdleConnections(long span) {
    trimmer.accept(span);
  }

  @Override
  public void log(String text) {
    log.write("controller " + text);
  }

  @Override
  public void startCall(String id, long until) {
    Exchange one = open.get(id);
    if (one == null || !one.isPending() || one.asked() == null || one.calling()) {
      return;
    }
    long limit = Math.max(MILLI, until - timers.now());
    one.calls(timers.now() + limit + CALL_SLACK);
    counters.add("calls");
    if (!below.startCall(id, limit / MILLI, one.asked())) {
      callEnded(id, RunOutcome.UNREACHABLE, null);
    }
  }

  @Override
  public void skipCall(String id) {
    Exchange one = open.get(id);
    if (one != null && one.asked() != null && !one.calling()) {
      counters.add("calls-left-out");
      resume(one, null);
    }
  }

  @Override
  public void rememberKey(String id, long span) {
    Exchange one = open.get(id);
    if (one != null) {
      keys.keep(one, timers.now() + span);
    }
  }

  @Override
  public void forgetKey(String id) {
    Exchange one = open.get(id);
    if (one != null) {
      keys.forget(one);
    }
  }

  @Override
  public void replayResult(String id) {
    Exchange one = open.get(id);
    IdempotencyKeys.Entry before = one == null || !one.isPending() ? null : keys.repeated(one);
    if (before != null) {
      replays.put(id, before);
      answerReplays();
    }
  }

  /**
   * Answers repeats whose run is over; those of a try that never ran are refused, as nothing of it
   * ran here.
   */
  private void answerReplays() {
    for (Map.Entry<String, IdempotencyKeys.Entry> each : new ArrayList<>(replays.entrySet())) {
      IdempotencyKeys.Entry before = each.getValue();
      Exchange one = open.get(each.getKey());
      if (one != null && one.isPending() && before.pending()) {
        continue;
      }
      replays.remove(each.getKey());
      if (one == null || !one.isPending()) {
        continue;
      }
      counters.add("replayed");
      boolean good = before.result() != null;
      if (good) {
        served(one, before.result());
      } else if (before.begun()) {
        fail(one, "replayed-failure");
      } else {
        refuse(one, "replayed-nothing", false, 0);
      }
      String id = each.getKey();
      open.remove(id);
      enqueue((to, at) -> to.runEnded(at, id, good ? RunOutcome.SUCCEEDED : RunOutcome.FAILED, 0));
    }
  }
}
