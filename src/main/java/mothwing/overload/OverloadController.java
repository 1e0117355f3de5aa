package mothwing.overload;

import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.StopMode;
import mothwing.overload.TrackedRequest.State;

/**
 * The overload controller of one server, after QGuard: wires the parts that decide and delivers the
 * events to them. One thread owns it; no part blocks or reads a clock of its own.
 *
 * <p>A request that is read is admitted or rejected at once ({@link RequestAdmission}). What is
 * admitted is held and run in the order of priority ({@link RunScheduler}), its dependency calls
 * within this server's quota ({@link DependencyCallScheduler}). Every sample moves the load index
 * and through it the filter that admits requests ({@link LoadMonitor}).
 */
public final class OverloadController implements Controller {
  private static final String SAMPLE_TIMER = "sample";

  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests = new RequestTable();
  private final MemoryBudget memory = new MemoryBudget();
  private final IdempotencyKeyExpiry keys = new IdempotencyKeyExpiry(memory);
  private final ProcessorSharingClock clock = new ProcessorSharingClock();
  private final FaultAdmission faults = new FaultAdmission();
  private final CostEstimator costs;
  private final AdmissionFilter filter;
  private final TenantQuotas quotas;
  private final LoadMonitor monitor;
  private final ConcurrencyCeiling ceiling;
  private final DependencyCallLimiter callLimiter;
  private final RequestCompletion completion;
  private final RunScheduler runs;
  private final DependencyCallScheduler calls;
  private final DeadlineEnforcer enforcer;
  private final RequestAdmission admission;
  private final BackpressureSignal backpressure;

  /**
   * Makes the controller of one incarnation of one server.
   *
   * @param settings its settings
   * @param host carries out its actions
   */
  public OverloadController(Settings settings, ControllerHost host) {
    this.host = host;
    context = new ControllerContext(settings);
    costs = new CostEstimator(context, clock);
    FilterLadder ladder = new FilterLadder(context.cores());
    filter = new AdmissionFilter(context, costs, ladder);
    quotas = new TenantQuotas(context);
    monitor = new LoadMonitor(context, clock, ladder);
    ceiling = new ConcurrencyCeiling(context);
    callLimiter = new DependencyCallLimiter(context);
    backpressure = new BackpressureSignal(context::settings, host);
    apply(settings, settings);
    ControllerState state = new ControllerState(context, host, requests, memory, clock, costs);
    PriorityOrder order = new PriorityOrder(context, costs);
    DeadlineAdmission deadlines =
        new DeadlineAdmission(state, filter, ladder, monitor, callLimiter);
    completion = new RequestCompletion(state, keys, callLimiter, faults, ladder);
    runs = new RunScheduler(state, order, ceiling, callLimiter);
    calls = new DependencyCallScheduler(state, ceiling, callLimiter, faults, completion);
    enforcer = new DeadlineEnforcer(context, requests, deadlines, completion);
    admission =
        new RequestAdmission(
            state, keys, quotas, order, filter, faults, deadlines, runs, completion, backpressure);
  }

  /** Hands settings that are in force to the parts. What they have learned stays with its name. */
  private void apply(Settings before, Settings after) {
    memory.apply(after.machine());
    faults.apply(after);
    callLimiter.apply(after.dependency());
    costs.apply(before, after);
    filter.apply(before, after);
    quotas.apply(before, after);
  }

  @Override
  public void serverStarted(long at) {
    context.start(at);
    monitor.start(at);
    host.setHealth(true, true);
    host.scheduleTimer(at + context.samplePeriod(), SAMPLE_TIMER);
  }

  @Override
  public void settingsChanged(long at, Settings to) {
    advance(at);
    Settings before = context.settings();
    context.apply(to);
    apply(before, to);
  }

  @Override
  public void requestRead(long at, Request request) {
    advance(at);
    admission.read(request);
  }

  @Override
  public void requestCancelled(long at, String id) {
    advance(at);
    TrackedRequest request = requests.find(id);
    if (request != null) {
      completion.cancel(request);
    }
  }

  @Override
  public void callAwaited(long at, String id) {
    advance(at);
    TrackedRequest request = requests.find(id);
    if (request != null) {
      calls.awaited(request);
    }
  }

  @Override
  public void callEnded(long at, String id, RunOutcome outcome, long durationMicros) {
    advance(at);
    TrackedRequest request = requests.find(id);
    if (request != null && request.is(State.CALLING)) {
      calls.ended(request, outcome);
    }
  }

  @Override
  public void runEnded(long at, String id, RunOutcome outcome, long durationMicros) {
    advance(at);
    TrackedRequest request = requests.find(id);
    if (request == null) {
      return;
    }
    if (outcome == RunOutcome.STOPPED && !request.isAnswered()) {
      clock.leave(request);
      boolean resumable = context.settings().machine().stopMode() == StopMode.SUSPEND;
      request.moveTo(resumable ? State.PAUSED : State.HELD);
      return;
    }
    boolean replayed = request.is(State.REPLAYING);
    completion.close(request);
    request.correctCoreTime(durationMicros, context.samplePeriod());
    if (!replayed) {
      learn(request, outcome);
    }
  }

  private void learn(TrackedRequest request, RunOutcome outcome) {
    if (outcome == RunOutcome.SUCCEEDED) {
      faults.recordRun(true);
      costs.learn(request);
    } else if (outcome == RunOutcome.FAILED) {
      faults.recordRun(false);
    }
  }

  @Override
  public void shutdownRequested(long at, long stopAt) {
    advance(at);
    context.startDraining(at, stopAt);
    for (TrackedRequest request : requests.all()) {
      request.dueBefore(context.boundedDueAt(request.dueAt()));
    }
    host.setHealth(true, false);
    backpressure.startDraining();
  }

  @Override
  public void batchEnded(long at) {
    advance(at);
    enforcer.enforce();
    runs.startWaiting();
    calls.startWaiting();
    requests.endBatch();
  }

  @Override
  public void timerFired(long at, String tag, GaugeSample sample) {
    advance(at);
    host.scheduleTimer(at + context.samplePeriod(), SAMPLE_TIMER);
    double seconds = monitor.beginSample(at);
    filter.refill(seconds);
    quotas.refill(seconds);
    costs.updateSlowdown(seconds, requests.all());
    callLimiter.fade(seconds);
    costs.fade(seconds);
    faults.forget(context.cores(), seconds);
    monitor.measureCores(sample);
    if (!monitor.isStalled()) {
      observe(sample);
    }
    runs.adaptLimit(monitor, sample);
  }

  /** Takes a sample into the load index, and tells callers how much traffic is wanted. */
  private void observe(GaugeSample sample) {
    double memoryKb = Math.max(1, context.settings().machine().memoryKb());
    boolean rejectsAll =
        monitor.observe(
            sample,
            memory.usedKb() / memoryKb,
            ceiling.survivable(),
            costs.backlogRatio(requests.all()),
            costs.takeCompletedWork());
    if (rejectsAll) {
      host.log("refuse-all reached");
    }
    long age = context.now() - context.startedAt();
    backpressure.sample(faults.runsFail(), monitor.isIdle(), age);
  }

  /** Brings everything that depends on time to the time of an event. */
  private void advance(long at) {
    double span = at - context.now();
    if (span <= 0) {
      return;
    }
    clock.advance(span, context.cores());
    ceiling.advance(span, clock.running());
    callLimiter.advance(span);
    context.moveTo(at);
    callLimiter.expireAbandoned();
    keys.expire(at);
  }
}
