package mothwing.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.control.Idempotency;
import mothwing.control.Request;
import mothwing.control.RequestClass;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.StopMode;

/**
 * All decisions of the overload controller of one server, after QGuard. Interface:
 * OverloadControl.java.
 *
 * <p>Order of decision for a request that is read: a repeat follows its forerunner; what is past
 * due or comes after the notice to leave is turned away; memory must have room; it takes tokens
 * from its class's bucket in the filter in force, and an empty bucket refuses it; where this
 * server's runs or its calls fail, only tries are admitted; what the work admitted before leaves no
 * time for is refused. What is admitted is held, and run in order of worth while the running limit
 * allows. Every sample moves the gauges, the index and, through it, the filter.
 */
public final class OverloadController implements Controller {
  // Constants: unit, then reason.
  private static final long SAMPLE =
      30_000; // microseconds, rounded up to rounds: the paper's 33 Hz
  private static final double VOLUME = 1.5; // seconds of rate in a full bucket (V): about one aim
  private static final double MINIMUM =
      0.1; // share of a filter's rate split evenly before the weights
  private static final double LEARN = 0.1; // weight of one run in learned core times: some ten runs
  private static final int STALE =
      2; // aims of a class without a run: what is refused teaches nothing
  private static final double STRAIN_SECONDS =
      3; // over which the cost of work now is taken: ten runs
  private static final double STRAIN_PRIOR =
      0.5; // seconds a core at the usual cost, against odd runs
  private static final double STRAINED = 2; // ratio to the usual cost under which it is chance
  private static final int KNOWN = 20; // runs after which the usual cost is known
  private static final double PRIOR_WORK =
      0.15; // ratio of the aim: core time before any was learned
  private static final double LEFT_AT_LEAST =
      0.3; // ratio of the guess: work left in a run past its guess
  private static final double CROWD_SHARE = 0.7; // of the survivable crowd, for the running limit
  private static final double MEMORY_SHARE =
      0.9; // of memory: the rest is room for a batch of reads
  private static final double CALLS_FLOW =
      0.4; // of this server's part of the dependency: more crowds it
  private static final double CALLS_BURST =
      0.5; // of the same over its window, at hand after a calm
  private static final double CALL_LEARN =
      0.3; // weight of one call in the learned call time: some three
  private static final double CALLS_LEAST =
      0.25; // of that burst, for a call to begin: less soon times out
  private static final double MANY = 1e9; // calls, its square their time, where no part is stated
  private static final int CALL_TRIES = 4; // count for one call; each wait doubles, which spares it
  private static final int DUE_MARGIN =
      2; // samples before a due time: a late timer and a batch fit in
  private static final int KILL_MARGIN =
      8; // samples before the kill at which everything is answered
  private static final double BETTER = 2; // ratio of worth from which work to come is kept room for
  private static final double LEAST_CORES = 0.5; // that are left for the others whatever is to come
  private static final double COMING_SECONDS =
      1; // over which it is counted: as long as work waits at most
  private static final double QUOTA_SECONDS =
      8; // of a tenant's quota: balancing is uneven over less
  private static final double QUOTA_LEEWAY =
      1.3; // ratio on this server's part of a quota, for the same
  private static final int RUNS = 0; // place of the account of failed runs
  private static final int CALLS = 1; // place of the account of failed calls
  private static final double FAULTS = 4; // count on an account over which only tries are made
  private static final double PAID = 1; // faults paid off by a good outcome: half may fail
  private static final double FORGOTTEN =
      1; // faults a second for each core: as many tries are made
  private static final double SPREAD =
      1.3; // ratio to the guess that a run may need: work and sharing vary
  private static final double CHANCE = 0.3; // the same on idle cores: a chance costs nobody else
  private static final double STUCK =
      4; // ratio to its guess past which a run tells of a stuck server
  private static final double BUSY_SECONDS = 3; // over which cores are idle or busy: some ten runs
  private static final int STALL =
      3; // samples late: the process stood still, which is no evidence of load
  private static final double SECOND = 1e6; // microseconds
  private static final String TICK = "sample"; // tag of the only timer

  private enum State {
    HELD,
    RUNNING,
    PAUSED,
    AT_CALL,
    CALLING,
    REPLAYING
  }

  private record Expiry(long at, String id) {}

  /** A request that is unanswered, or whose run still holds core or memory. */
  private static final class TrackedRequest {
    final Request request;
    final RequestClass kind;
    final long arrived;
    long due;
    long aimBy;
    double unit;
    boolean overShare;
    State state = State.HELD;
    boolean answered;
    boolean ran;
    double used;
    double mark;
    double weighed;
    double worth;
    long callAgain;
    long calledAt;
    int calls;
    int stood;

    TrackedRequest(Request request, RequestClass kind, long arrived) {
      this.request = request;
      this.kind = kind;
      this.arrived = arrived;
    }

    boolean guarded() {
      return kind.idempotency() == Idempotency.GUARDED;
    }
  }

  private Settings settings;
  private final ControllerHost host;
  private final BackpressureSignal callers;
  private int cores;
  private double planned;
  private long margin;
  private long sample;
  private final Map<String, TrackedRequest> open = new LinkedHashMap<>();
  private final Set<String> keys = new HashSet<>();
  private final PriorityQueue<Expiry> expiry =
      new PriorityQueue<>(Comparator.comparingLong(Expiry::at));
  private final Set<String> refusedNow = new HashSet<>();

  private long now;
  private long startedAt;
  private long lastSample;
  private boolean draining;
  private boolean late;
  private long noticeAt;
  private long stopAt;
  private double coreClock;
  private int onCores;
  private double crowd;
  private double callsMost;
  private double callTimeMost;
  private double callTime;
  private double callFlow;
  private double callRoom;
  private double callPace;
  private double[] callsPer = {};
  private int calling;
  private double dearestCaller;
  private final double[] faults = new double[2];
  private final ArrayDeque<Long> lingering = new ArrayDeque<>();
  private double memory;

  private double[] pace = {};
  private int[] runs = {};
  private long[] learnedAt = {};
  private double paceOfAll = 1;
  private double spent;
  private double done;
  private double strain = 1;

  private final LoadIndex loadIndex = new LoadIndex();
  private final FilterLadder ladder;
  private double doneWork;
  private double doneRate;

  private double[] tokens = {};
  private double[] offered = {};
  private double[] coming = {};
  private double[] quotaTokens = {};
  private final ConcurrencyLimit running;
  private double busy;
  private double usualBusy = 1;

  /**
   * Makes the controller of one life of one server.
   *
   * @param settings its settings
   * @param host carries out its actions
   */
  public OverloadController(Settings settings, ControllerHost host) {
    this.host = host;
    this.settings = settings;
    callers = new BackpressureSignal(() -> this.settings, host);
    take(settings);
    callTime = callTimeMost;
    callRoom = callFlow * VOLUME * SECOND;
    running = new ConcurrencyLimit(cores);
    ladder = new FilterLadder(cores);
  }

  /** Takes settings whole. What was learned, used up or came of late stays with its name. */
  private void take(Settings to) {
    Settings before = settings;
    settings = to;
    cores = Math.max(1, to.machine().cores());
    long round = Math.max(1, to.batchInterval());
    sample = (SAMPLE + round - 1) / round * round;
    margin = DUE_MARGIN * sample;
    planned = to.machine().memoryKb() * MEMORY_SHARE;
    dearestCaller =
        to.classes().stream()
            .filter(RequestClass::callsDependency)
            .mapToDouble(RequestClass::priorityWeight)
            .max()
            .orElse(0);
    double part = to.dependency().concurrencyQuota();
    callsMost = part > 0 ? Math.ceil(Math.max(1, 2 * part)) : MANY;
    callTimeMost = CALLS_BURST * (part > 0 ? part * to.dependency().window() : MANY * MANY);
    callFlow = part > 0 ? part * CALLS_FLOW : MANY;
    int known = pace.length;
    int classes = to.classes().size();
    pace = Arrays.copyOf(pace, classes);
    runs = Arrays.copyOf(runs, classes);
    learnedAt = Arrays.copyOf(learnedAt, classes);
    callsPer = Arrays.copyOf(callsPer, classes);
    tokens = Arrays.copyOf(tokens, 2 * classes);
    offered = Arrays.copyOf(offered, 2 * classes);
    coming = Arrays.copyOf(coming, 2 * classes);
    for (int i = 0; i < classes; i++) {
      RequestClass kind = to.classes().get(i);
      if (i >= known || !kind.name().equals(before.classes().get(i).name())) {
        pace[i] = paceOfAll;
        runs[i] = 0;
        callsPer[i] = kind.callsDependency() ? 1 : 0;
        for (double[] ofAnother : List.of(tokens, offered, coming)) {
          Arrays.fill(ofAnother, 2 * i, 2 * i + 2, 0);
        }
      }
    }
    int shares = quotaTokens.length;
    quotaTokens = Arrays.copyOf(quotaTokens, to.tenants().size());
    for (int i = 0; i < quotaTokens.length; i++) {
      if (i >= shares || !to.tenants().get(i).name().equals(before.tenants().get(i).name())) {
        quotaTokens[i] = quota(i) * QUOTA_SECONDS; // a debt is its maker's
      }
    }
  }

  @Override
  public void settingsChanged(long at, Settings to) {
    advance(at);
    take(to);
  }

  @Override
  public void serverStarted(long at) {
    now = at;
    startedAt = at;
    lastSample = at;
    ladder.started(at);
    host.setHealth(true, true);
    host.scheduleTimer(at + sample, TICK);
  }

  // reading

  @Override
  public void requestRead(long at, Request request) {
    advance(at);
    RequestClass kind = settings.classes().get(request.classIndex());
    TrackedRequest job = new TrackedRequest(request, kind, at - request.queueingDelay());
    long due =
        request.callerDeadline() > 0 ? request.callerDeadline() : job.arrived + kind.deadline();
    job.due = draining ? Math.min(due, stopAt) : due;
    job.unit =
        request.estimatedCoreTime() > 0
            ? request.estimatedCoreTime()
            : kind.latencyObjective() * PRIOR_WORK;
    job.aimBy = job.arrived + kind.latencyObjective();
    job.overShare = request.tenantIndex() >= 0 && quotaTokens[request.tenantIndex()] < 0;
    job.worth = worth(job);
    open.put(request.id(), job);
    memory += request.memoryKb();
    offered[bucket(job)] += expected(job);
    coming[bucket(job)] += job.unit;
    callers.read(expected(job));
    decide(job);
  }

  /** The ordinary path of a request just read. */
  private void decide(TrackedRequest job) {
    if (followsForerunner(job)) {
      return;
    }
    boolean late = draining && job.arrived > noticeAt;
    if (now + margin >= job.due || late || !roomFor(job)) {
      turnAway(job);
      return;
    }
    if (!takeTokens(job) || faulty(job) || !reachable(job)) {
      callers.refused(expected(job));
      turnAway(job);
      return;
    }
    int tenant = job.request.tenantIndex();
    if (tenant >= 0) {
      quotaTokens[tenant] = Math.max(-quota(tenant), quotaTokens[tenant] - 1);
    }
    if (job.guarded()) {
      remember(job);
    }
  }

  /** A repeat whose forerunner is held or ran follows it; it is never run or turned away. */
  private boolean followsForerunner(TrackedRequest job) {
    String before = job.request.originalId();
    if (before == null || refusedNow.contains(before)) {
      return false;
    }
    if (job.guarded() || settings.cacheLifetime() > 0 || open.containsKey(before)) {
      if (now + margin >= job.due || memory > planned) { // waiting repeats must not fill the memory
        answerFailed(job);
      } else {
        job.state = State.REPLAYING;
        host.replayResult(job.request.id());
      }
      return true;
    }
    return false;
  }

  /**
   * Every read must leave room for its run, for the runs planned and for a batch of further reads.
   */
  private boolean roomFor(TrackedRequest job) {
    double entry = job.guarded() ? settings.machine().keyMemoryKb() : 0;
    return memory + entry + Math.max(0, running.limit() - onCores) * extra(job) <= planned;
  }

  private double extra(TrackedRequest job) {
    return job.request.memoryKb() * (settings.machine().runMemoryFactor() - 1);
  }

  private boolean takeTokens(TrackedRequest job) {
    int filter = ladder.filter();
    if (filter == 0) {
      return true;
    }
    int bucket = bucket(job);
    if (filter > FilterLadder.INNER_FILTERS || tokens[bucket] <= 0) {
      return false;
    }
    tokens[bucket] -= expected(job);
    return true;
  }

  /**
   * A failing server looks quick and idle, a failing dependency wastes core time: little is tried.
   */
  private boolean faulty(TrackedRequest job) {
    boolean dear = job.kind.priorityWeight() >= dearestCaller;
    return faults[RUNS] > FAULTS
        || (job.kind.callsDependency() && faults[CALLS] > (dear ? FAULTS : FAULTS / 2));
  }

  private void account(int place, boolean good) {
    faults[place] = good ? Math.max(0, faults[place] - PAID) : Math.min(FAULTS, faults[place]) + 1;
  }

  /**
   * A burst outruns the ladder: refuses what better work leaves no time for. What runs shares its
   * core.
   */
  private boolean reachable(TrackedRequest job) {
    double ahead = 0;
    double calls = -callRoom;
    double spare = usefulUntil(job) - now - callsLeft(job) - stretched(job) - margin;
    double most = spare * Math.max(LEAST_CORES, cores - betterToCome(job)) / SPREAD;
    for (TrackedRequest other : open.values()) {
      boolean first =
          other.worth == job.worth ? other.arrived <= job.arrived : other.worth > job.worth;
      if (other != job && !other.answered && (first || other.state != State.HELD)) {
        ahead += other.state == State.RUNNING ? Math.min(left(other), expected(job)) : left(other);
        if (ahead > most) {
          return false; // in a crowd that is most of them: no need to add up the rest
        }
      }
      calls += job.kind.callsDependency() && first && !other.answered ? callsLeft(other) : 0;
    }
    return spare >= 0
        && (!job.kind.callsDependency()
            || job.kind.degradedWeightRatio() > 0
            || calls / callFlow <= spare);
  }

  /**
   * Cores that work of much better worth takes while a request waits: what came of late goes on.
   */
  private double betterToCome(TrackedRequest job) {
    double work = 0;
    for (int i = 0; i < coming.length; i++) {
      RequestClass kind = settings.classes().get(i / 2);
      double cost = pace[i / 2] * strain;
      double value = kind.priorityWeight() * (i % 2 == 0 ? 1 : settings.overQuotaWeightRatio());
      double worth = settings.weightByWork() ? value : value / (job.unit * cost);
      work += worth > BETTER * job.worth ? coming[i] * cost : 0;
    }
    return Math.min(
        work / COMING_SECONDS / SECOND, busy * cores); // what comes often shows on the cores
  }

  /** Call time that a request is still expected to take from the dependency. */
  private double callsLeft(TrackedRequest job) {
    int waiting = job.state == State.AT_CALL || job.state == State.CALLING ? 1 : 0;
    double left = callsPer[job.request.classIndex()] - job.stood + waiting;
    return job.state == State.REPLAYING ? 0 : callPace * Math.max(waiting, left);
  }

  /**
   * The time held for a run: on cores idle now or of late no better use waits, and chances are
   * taken.
   */
  private double stretched(TrackedRequest job) {
    double full =
        ladder.filter() > 0 ? 1 : Math.min(1, Math.min(busy, usualBusy) / LoadIndex.idleCores());
    return expected(job) * (CHANCE + (SPREAD - CHANCE) * full);
  }

  /** Until when an answer is sought: on busy cores a late one takes the place of one in time. */
  private long usefulUntil(TrackedRequest job) {
    boolean room = ladder.filter() == 0 && Math.min(busy, usualBusy) < LoadIndex.idleCores();
    return room ? worthUntil(job) : Math.min(job.aimBy, job.due);
  }

  /** Until when an answer has any worth. */
  private long worthUntil(TrackedRequest job) {
    return job.kind.lateWeightRatio() > 0 ? job.due : Math.min(job.aimBy, job.due);
  }

  /** Worth for expected core time, then arrival. */
  private static final Comparator<TrackedRequest> ORDER =
      Comparator.comparingDouble((TrackedRequest job) -> -job.worth)
          .thenComparingLong(job -> job.arrived);

  // what a request is worth and costs

  private double worth(TrackedRequest job) {
    double value =
        job.kind.priorityWeight() * (job.overShare ? settings.overQuotaWeightRatio() : 1);
    return settings.weightByWork() ? value : value / expected(job);
  }

  private double expected(TrackedRequest job) {
    return usual(job) * strain;
  }

  private double usual(TrackedRequest job) {
    return job.unit * pace[job.request.classIndex()];
  }

  private double left(TrackedRequest job) {
    double guess = job.state == State.REPLAYING ? 0 : expected(job);
    return Math.max(guess - used(job), guess * LEFT_AT_LEAST);
  }

  private double used(TrackedRequest job) {
    return job.used + (job.state == State.RUNNING ? coreClock - job.mark : 0);
  }

  private double quota(int tenant) {
    return settings.tenants().get(tenant).requestsPerSecond()
        / Math.max(1, settings.replicas())
        * QUOTA_LEEWAY;
  }

  private int bucket(TrackedRequest job) {
    return 2 * job.request.classIndex() + (job.overShare ? 1 : 0);
  }

  // answers

  /**
   * Ends a request that never ran; callers go on and stay away where the trouble is this server's
   * own.
   */
  private void turnAway(TrackedRequest job) {
    boolean cold =
        settings.machine().coldStart() && now < startedAt + settings.rules().warmUpDuration();
    boolean own = draining || faults[RUNS] > FAULTS || cold || stuck();
    long longest = settings.signals().retryAfterHonoured() ? settings.signals().maxRetryAfter() : 0;
    long byFilter = longest * ladder.filter() / (2 * FilterLadder.INNER_FILTERS);
    host.rejectRequest(job.request.id(), !own, own ? longest : byFilter);
    refusedNow.add(job.request.id());
    if (dropKey(job.request.id())) {
      host.forgetKey(job.request.id());
    }
    close(job);
  }

  /**
   * Work that hangs, or crawls on this server alone, shows in runs that all are far past their
   * guesses.
   */
  private boolean stuck() {
    return onCores >= cores
        && open.values().stream()
            .allMatch(job -> job.state != State.RUNNING || used(job) > STUCK * usual(job));
  }

  /** Answers with a failure; running work is stopped in the same reply where that is possible. */
  private void answerFailed(TrackedRequest job) {
    host.failRequest(job.request.id());
    job.answered = true;
    stop(job);
    if (job.state == State.CALLING) {
      lingering.add(now + settings.dependency().abandonedCallDuration());
      job.state = State.AT_CALL;
      calling--;
    } else if (job.state != State.RUNNING && job.state != State.AT_CALL) {
      close(job);
    }
  }

  private void stop(TrackedRequest job) {
    if (job.state == State.RUNNING && settings.machine().stopMode() != StopMode.NONE) {
      host.stopRun(job.request.id());
    }
  }

  /** Forgets a request that holds nothing any longer. */
  private void close(TrackedRequest job) {
    if (open.remove(job.request.id()) == null) {
      return;
    }
    leaveCore(job);
    if (job.state == State.CALLING) { // its caller left: the dependency does not know yet
      calling--;
      lingering.add(now + settings.dependency().abandonedCallDuration());
    }
    memory -= job.request.memoryKb() + (job.ran ? extra(job) : 0);
  }

  private void leaveCore(TrackedRequest job) {
    if (job.state == State.RUNNING) {
      job.used += coreClock - job.mark;
      onCores--;
    }
  }

  private void enterCore(TrackedRequest job) {
    job.state = State.RUNNING;
    job.mark = coreClock;
    onCores++;
  }

  private void remember(TrackedRequest job) {
    long until = Math.max(now + sample, job.arrived + job.kind.idempotencyWindow() + sample);
    host.rememberKey(job.request.id(), until - now);
    keys.add(job.request.id());
    expiry.add(new Expiry(until, job.request.id()));
    memory += settings.machine().keyMemoryKb();
  }

  private boolean dropKey(String id) {
    boolean live = keys.remove(id);
    memory -= live ? settings.machine().keyMemoryKb() : 0;
    return live;
  }

  // running

  @Override
  public void requestCancelled(long at, String id) {
    advance(at);
    TrackedRequest job = open.get(id);
    if (job == null) {
      return;
    }
    job.answered = true;
    stop(job);
    if (job.state == State.HELD || job.state == State.PAUSED || job.state == State.REPLAYING) {
      close(job);
    }
  }

  @Override
  public void callAwaited(long at, String id) {
    advance(at);
    TrackedRequest job = open.get(id);
    if (job == null) {
      return;
    }
    leaveCore(job);
    job.state = State.AT_CALL;
    job.stood++;
    job.calls = 0;
    job.callAgain = now;
    if (job.answered) {
      host.failRequest(id);
    }
  }

  @Override
  public void callEnded(long at, String id, RunOutcome outcome, long took) {
    advance(at);
    TrackedRequest job = open.get(id);
    if (job == null || job.state != State.CALLING) {
      return;
    }
    calling--;
    callPace += (now - job.calledAt - callPace) * CALL_LEARN;
    account(CALLS, outcome == RunOutcome.SUCCEEDED);
    if (outcome == RunOutcome.SUCCEEDED) {
      enterCore(job);
      return;
    }
    // given up, or cut off with its link
    boolean mayRunOn = !outcome.provesNoEffect() && outcome != RunOutcome.FAILED;
    if (mayRunOn) {
      lingering.add(now + settings.dependency().abandonedCallDuration());
    }
    job.state = State.AT_CALL;
    job.callAgain = now + (sample << Math.min(job.calls, 2 * CALL_TRIES));
    boolean again = outcome.provesNoEffect() || job.kind.idempotency() == Idempotency.SAFE;
    boolean over = (!again || job.calls >= CALL_TRIES) && !job.answered;
    if (over && job.kind.degradedWeightRatio() > 0) {
      job.calls = CALL_TRIES; // the poorer answer is left
    } else if (over) {
      answerFailed(job);
    }
  }

  @Override
  public void runEnded(long at, String id, RunOutcome outcome, long took) {
    advance(at);
    TrackedRequest job = open.get(id);
    if (job == null) {
      return;
    }
    boolean replayed = job.state == State.REPLAYING;
    if (outcome == RunOutcome.STOPPED && !job.answered) {
      leaveCore(job);
      job.state = settings.machine().stopMode() == StopMode.SUSPEND ? State.PAUSED : State.HELD;
      return;
    }
    close(job);
    job.used =
        took > 0 && job.used - took > sample ? took : job.used; // the rest: we heard of it late
    if (!replayed && outcome == RunOutcome.SUCCEEDED) {
      account(RUNS, true);
      learn(job);
    } else if (!replayed && outcome == RunOutcome.FAILED) {
      account(RUNS, false);
    }
  }

  /** Learns core time for a unit of expected work, by class; the first runs count in full. */
  private void learn(TrackedRequest job) {
    int place = job.request.classIndex();
    weigh(job, job.used);
    done += usual(job);
    doneWork += expected(job);
    double seen = job.used / job.unit / strain;
    runs[place]++;
    pace[place] += (seen - pace[place]) * Math.max(LEARN, 1.0 / runs[place]);
    paceOfAll += (seen - paceOfAll) * Math.max(LEARN, 1.0 / Arrays.stream(runs).sum());
    learnedAt[place] = now;
    callsPer[place] += (job.stood - callsPer[place]) * Math.max(LEARN, 1.0 / runs[place]);
  }

  /**
   * What a slow stretch, or slow calls, made look too long would be refused, and so not seen again.
   */
  private void fadePaces(double span) {
    callPace *= calling > 0 ? 1 : Math.max(0, 1 - span / STRAIN_SECONDS);
    for (int i = 0; i < pace.length; i++) {
      double aim = settings.classes().get(i).latencyObjective();
      if (runs[i] > 0 && now - learnedAt[i] > STALE * aim) {
        pace[i] += (paceOfAll - pace[i]) * Math.min(1, span * SECOND / aim);
      }
    }
  }

  /**
   * What work costs now for its usual cost: a slow server shows in seconds, by unended runs too.
   */
  private void weighStrain(double span) {
    double kept = Math.max(0, 1 - span / STRAIN_SECONDS);
    spent *= kept;
    done *= kept;
    for (TrackedRequest job : open.values()) {
      if (job.state == State.RUNNING) {
        weigh(job, Math.min(used(job), STUCK * usual(job)));
      }
    }
    double prior = STRAIN_PRIOR * SECOND * cores;
    double ratio = (spent + prior) / (done + prior);
    strain = ratio > STRAINED && Arrays.stream(runs).sum() > KNOWN ? ratio : 1;
  }

  private void weigh(TrackedRequest job, double used) {
    spent += Math.max(0, used - job.weighed);
    job.weighed = Math.max(used, job.weighed);
  }

  @Override
  public void shutdownRequested(long at, long stop) {
    advance(at);
    draining = true;
    noticeAt = at;
    stopAt = stop - KILL_MARGIN * sample;
    for (TrackedRequest job : open.values()) {
      job.due = Math.min(job.due, stopAt);
    }
    host.setHealth(true, false);
    callers.leave();
  }

  @Override
  public void batchEnded(long at) {
    advance(at);
    sweep();
    startWork();
    makeCalls();
    refusedNow.clear();
  }

  /** No request may be lost, and nothing that can no longer be useful is run. */
  private void sweep() {
    for (TrackedRequest job : new ArrayList<>(open.values())) {
      if (job.answered) {
        continue;
      }
      boolean due = now + margin >= job.due;
      boolean waits = job.state == State.AT_CALL || job.state == State.REPLAYING;
      if (job.state == State.HELD && !job.ran && (due || now + stretched(job) > usefulUntil(job))) {
        turnAway(job);
      } else if (due || (now > worthUntil(job) && waits)) {
        answerFailed(job); // what waits is given up once it can earn nothing; a run goes on
      }
    }
  }

  private void startWork() {
    List<TrackedRequest> waiting = new ArrayList<>();
    for (TrackedRequest job : open.values()) {
      if (!job.answered && (job.state == State.HELD || job.state == State.PAUSED)) {
        job.worth =
            worth(job) * (now + expected(job) <= job.aimBy ? 1 : job.kind.lateWeightRatio());
        waiting.add(job);
      }
    }
    waiting.sort(ORDER);
    for (TrackedRequest job : waiting) {
      if (onCores + callsInHand() / 2 >= runningBound()) {
        return;
      }
      if (job.ran || memory + extra(job) <= planned) {
        start(job);
      }
    }
  }

  private void start(TrackedRequest job) {
    host.startRun(job.request.id());
    if (!job.ran) {
      job.ran = true;
      memory += extra(job);
    }
    enterCore(job);
  }

  /** The crowd that this server survives now: a cold one survives less. */
  private double survivable() {
    double speed = 1;
    if (settings.machine().coldStart() && settings.rules().warmUpDuration() > 0) {
      double age = (double) (now - startedAt) / settings.rules().warmUpDuration();
      speed =
          Math.min(
              1, settings.rules().coldSpeedRatio() + (1 - settings.rules().coldSpeedRatio()) * age);
    }
    return (1 + (settings.rules().concurrencyPerCore() - 1) * speed) * cores;
  }

  private int runningBound() {
    double ceiling = crowdCeiling();
    return crowd > ceiling ? 0 : Math.min(running.limit(), (int) Math.max(1, ceiling));
  }

  private double crowdCeiling() {
    return survivable() * CROWD_SHARE;
  }

  /**
   * Calls are made in order of worth, from a bucket of call time: a slow dependency gets fewer, and
   * is not crowded. It falls if all hold on to their calls: they end within this server's part. A
   * call that failed for good or would come too late is left out where the poorer answer has worth.
   */
  private void makeCalls() {
    List<TrackedRequest> waiting = new ArrayList<>();
    for (TrackedRequest job : open.values()) {
      if (job.state == State.AT_CALL && !job.answered && now >= job.callAgain) {
        waiting.add(job);
      }
    }
    waiting.sort(ORDER);
    for (TrackedRequest job : waiting) {
      boolean mine = callsInHand() < callsMost && callTime >= callTimeMost * CALLS_LEAST;
      boolean late =
          job.calls >= CALL_TRIES || now + callPace + left(job) + margin > worthUntil(job);
      if (onCores + calling >= Math.max(1, crowdCeiling())) {
        return; // what returns takes a core again
      } else if (late && job.kind.degradedWeightRatio() > 0) {
        host.skipCall(job.request.id());
        enterCore(job);
      } else if (mine && callRoom > 0) {
        job.state = State.CALLING;
        job.calledAt = now;
        calling++;
        job.calls++;
        long until =
            Math.min(
                Math.min(job.due - 2 * margin, worthUntil(job)),
                now + (long) (callTime / callsMost));
        host.startCall(job.request.id(), Math.max(now + settings.batchInterval(), until));
      }
    }
  }

  private int callsInHand() {
    return lingering.size() + calling;
  }

  // time

  /** Carries all that depends on time to the moment of an event. */
  private void advance(long at) {
    double span = at - now;
    if (span <= 0) {
      return;
    }
    coreClock += span * Math.min(1, (double) cores / Math.max(1, onCores));
    crowd +=
        (onCores - crowd)
            * (1 - Math.exp(-span / Math.max(1, settings.rules().concurrencyWindow())));
    double rate = callFlow - callsInHand();
    callTime = Math.min(callTimeMost, callTime + rate * span);
    callRoom = Math.min(callFlow * VOLUME * SECOND, callRoom + rate * span);
    now = at;
    while (!lingering.isEmpty() && lingering.peek() <= now) {
      lingering.remove();
    }
    while (!expiry.isEmpty() && expiry.peek().at() <= now) {
      dropKey(expiry.remove().id());
    }
  }

  @Override
  public void timerFired(long at, String tag, GaugeSample sampled) {
    advance(at);
    host.scheduleTimer(at + sample, TICK);
    boolean stalled = at - lastSample > STALL * sample && !late;
    late = at - lastSample > STALL * sample; // again and again: it is short of processor time
    double span = (at - lastSample) / SECOND;
    lastSample = at;
    fill(span);
    weighStrain(span);
    fadePaces(span);
    faults[RUNS] = Math.max(0, faults[RUNS] - FORGOTTEN * cores * span);
    faults[CALLS] = Math.max(0, faults[CALLS] - FORGOTTEN * cores * span);
    busy = gauge(sampled, "cpu_busy", Math.min(1, (double) onCores / cores));
    usualBusy += (busy - usualBusy) * Math.min(1, span / BUSY_SECONDS);
    if (!stalled) {
      observe(sampled, span);
    }
    int steps = (int) Math.max(1, Math.min(LoadIndex.HISTORY, span * SECOND / sample));
    if (sampled.isKnown() || settings.machine().gaugeNames().isEmpty()) {
      boolean waits =
          onCores >= running.limit()
              && open.values().stream().anyMatch(job -> job.state == State.HELD && !job.answered);
      running.sampled(
          steps,
          busy,
          waits,
          (int) crowdCeiling(),
          cores,
          loadIndex.samples() % LoadIndex.HISTORY == 0);
    } else if (running.unsampled(steps, sampled.age(), sample, cores)) {
      host.log(
          "running-limit shrinks from="
              + running.limit()
              + " no_gauges_for_ms="
              + sampled.age() / 1000);
    }
  }

  /** Refills the buckets of the filter in force and the tenants' quotas. */
  private void fill(double span) {
    double[] split = split(ladder.rate());
    for (int i = 0; i < tokens.length; i++) {
      double rate = split[i] * SECOND;
      tokens[i] = Math.min(rate * VOLUME, tokens[i] + rate * span);
      offered[i] *= 1 - span / QUOTA_SECONDS;
      coming[i] *= Math.max(0, 1 - span / COMING_SECONDS);
    }
    for (int i = 0; i < quotaTokens.length; i++) {
      quotaTokens[i] = Math.min(quota(i) * QUOTA_SECONDS, quotaTokens[i] + quota(i) * span);
    }
  }

  /** Max-min: every bucket its minimum, then the rest by weight up to what each is offered. */
  private double[] split(double rate) {
    double[] given = new double[tokens.length];
    double[] want = new double[tokens.length];
    double rest = rate;
    for (int i = 0; i < given.length; i++) {
      want[i] = offered[i] / QUOTA_SECONDS / SECOND;
      given[i] = Math.min(want[i], i % 2 == 0 ? 2 * rate * MINIMUM / given.length : 0);
      rest -= given[i];
    }
    for (int pass = 0; pass < given.length && rest > 0; pass++) {
      double weights = 0;
      for (int i = 0; i < given.length; i++) {
        weights += given[i] < want[i] ? weight(i) : 0;
      }
      double share = rest;
      for (int i = 0; i < given.length && weights > 0; i++) {
        if (given[i] < want[i]) {
          double more = Math.min(want[i] - given[i], share * weight(i) / weights);
          given[i] += more;
          rest -= more;
        }
      }
    }
    for (int i = 0; i < given.length; i++) {
      given[i] += Math.max(0, rest) / given.length;
    }
    return given;
  }

  private double weight(int bucket) {
    RequestClass kind = settings.classes().get(bucket / 2);
    double unit = settings.weightByWork() ? 1 : pace[bucket / 2] * kind.latencyObjective();
    double value =
        kind.priorityWeight() / unit * (bucket % 2 == 1 ? settings.overQuotaWeightRatio() : 1);
    return value * value;
  }

  // monitor, load controller, policy manager

  /** One sample: the gauges, the index, and the damped step through the ladder. */
  private void observe(GaugeSample sampled, double span) {
    int index =
        loadIndex.take(
            busy,
            memory / Math.max(1, settings.machine().memoryKb()),
            gauge(sampled, "runnable", onCores) / survivable(),
            holdWait());
    doneRate += (doneWork / SECOND / span - doneRate) * Math.min(1, span / 2);
    doneWork = 0;
    ladder.completed(index, doneRate, cores, span);
    if (ladder.step(now, index, span, sample)) {
      host.log("refuse-all reached");
    }
    callers.sample(faults[RUNS] > FAULTS, busy < LoadIndex.idleCores(), now - startedAt);
  }

  /**
   * A gauge of this moment; where it is not known, what this server's own book of runs makes of it.
   */
  private double gauge(GaugeSample sampled, String name, double byOwnBook) {
    int place = settings.machine().gaugeNames().indexOf(name);
    return place >= 0 && place < sampled.gauges().size() ? sampled.gauges().get(place) : byOwnBook;
  }

  /**
   * The wait that the work in hand means for one who comes last, as shares of its class deadlines.
   */
  private double holdWait() {
    double work = 0;
    for (TrackedRequest job : open.values()) {
      work += job.answered ? 0 : left(job) / job.kind.deadline();
    }
    return work / cores;
  }
}
