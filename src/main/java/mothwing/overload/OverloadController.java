package mothwing.overload;

import mothwing.control.Controller;
import mothwing.control.ControllerHost;
import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.control.SharedCapacity;
import mothwing.overload.TrackedRequest.State;

/**
 * Overload controller of one server, based on QGuard. Connects the components that make the
 * decisions and passes the events to them. One thread owns it; no component blocks or reads a clock
 * of its own.
 *
 * <p>A request that is read is admitted or rejected at once ({@link RequestAdmission}). Admitted
 * requests are held and run in priority order ({@link RunScheduler}), and their dependency calls
 * are kept within this server's quota ({@link DependencyCallScheduler}). Every sample, except after
 * a stall, updates the load index, which selects the filter that admits requests ({@link
 * LoadMonitor}).
 */
public final class OverloadController implements Controller {
  private static final String SAMPLE_TIMER = "sample";

  private final ControllerContext context;
  private final ControllerHost host;
  private final RequestTable requests = new RequestTable();
  private final SharedLoad shared;
  private final MemoryBudget memory;
  private final IdempotencyKeyExpiry keys;
  private final ProcessorSharingClock clock;
  private final FaultAdmission faults = new FaultAdmission();
  private final CostEstimator costs;
  private final AdmissionFilter filter;
  private final TenantQuotas quotas;
  private final LoadMonitor monitor;
  private final ConcurrencyCeiling ceiling;
  private final DependencyCallLimiter callLimiter;
  private final RequestCompletion completion;
  private final RunScheduler runScheduler;
  private final DependencyCallScheduler callScheduler;
  private final DeadlineEnforcer enforcer;
  private final RequestAdmission admission;
  private final BackpressureSignal backpressure;

  /**
   * Creates the controller of a server with a single process.
   *
   * @param settings the initial settings
   * @param host carries out the actions
   */
  public OverloadController(Settings settings, ControllerHost host) {
    this(settings, host, SharedCapacity.UNSHARED);
  }

  /**
   * Creates the controller of one incarnation of one server.
   *
   * @param settings the initial settings
   * @param host carries out the actions
   * @param capacity the capacity that this process shares with others of the same server
   */
  public OverloadController(Settings settings, ControllerHost host, SharedCapacity capacity) {
    this.host = host;
    context = new ControllerContext(settings);
    shared = new SharedLoad(capacity);
    shared.exchange(0, 0, context.cores(), 0);
    memory = new MemoryBudget(shared);
    keys = new IdempotencyKeyExpiry(memory);
    clock = new ProcessorSharingClock(shared);
    costs = new CostEstimator(context, clock);
    FilterLadder ladder = new FilterLadder(context.cores());
    filter = new AdmissionFilter(context, costs, ladder);
    quotas = new TenantQuotas(context);
    monitor = new LoadMonitor(context, clock, ladder);
    ceiling = new ConcurrencyCeiling(context, shared);
    callLimiter = new DependencyCallLimiter(context, shared);
    backpressure = new BackpressureSignal(context::settings, host);
    apply(settings, settings);
    ControllerState state =
        new ControllerState(context, host, requests, memory, clock, costs, shared);
    PriorityOrder order = new PriorityOrder(context, costs);
    DeadlineAdmission deadlines =
        new DeadlineAdmission(state, filter, ladder, monitor, callLimiter);
    completion = new RequestCompletion(state, keys, callLimiter, faults, ladder);
    runScheduler = new RunScheduler(state, order, ceiling, callLimiter);
    callScheduler = new DependencyCallScheduler(state, ceiling, callLimiter, faults, completion);
    enforcer = new DeadlineEnforcer(context, requests, deadlines, completion);
    admission =
        new RequestAdmission(
            state,
            keys,
            quotas,
            order,
            filter,
            faults,
            deadlines,
            runScheduler,
            completion,
            backpressure);
  }

  /**
   * Passes settings that the context already holds to the components. Statistics and quotas are
   * kept for classes and tenants whose index and name are unchanged.
   */
  private void apply(Settings oldSettings, Settings newSettings) {
    memory.apply(newSettings.machine());
    faults.apply(newSettings);
    callLimiter.apply(newSettings.dependency());
    costs.apply(oldSettings, newSettings);
    filter.apply(oldSettings, newSettings);
    quotas.apply(oldSettings, newSettings);
  }

  @Override
  public void serverStarted(long at) {
    context.start(at);
    monitor.start(at);
    host.setHealth(true, true);
    host.scheduleTimer(at + context.samplePeriod(), SAMPLE_TIMER);
  }

  @Override
  public void settingsChanged(long at, Settings newSettings) {
    advance(at);
    Settings oldSettings = context.settings();
    context.apply(newSettings);
    apply(oldSettings, newSettings);
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
      callScheduler.handleAwaited(request);
    }
  }

  @Override
  public void callEnded(long at, String id, RunOutcome outcome, long durationMicros) {
    advance(at);
    TrackedRequest request = requests.find(id);
    if (request != null && request.is(State.CALLING)) {
      callScheduler.handleEnded(request, outcome);
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
      completion.handleStopped(request);
    } else {
      completion.handleEnded(request, outcome, durationMicros);
    }
  }

  @Override
  public void shutdownRequested(long at, long stopAt) {
    advance(at);
    context.startDraining(at, stopAt);
    for (TrackedRequest request : requests.openRequests()) {
      request.limitDueAt(context.boundedDueAt(request.dueAt()));
    }
    host.setHealth(true, false);
    backpressure.startDraining();
  }

  @Override
  public void batchEnded(long at) {
    advance(at);
    enforcer.enforce();
    runScheduler.startWaitingRuns();
    callScheduler.startWaitingCalls();
    requests.endBatch();
  }

  @Override
  public void timerFired(long at, String tag, GaugeSample sample) {
    advance(at);
    host.scheduleTimer(at + context.samplePeriod(), SAMPLE_TIMER);
    double seconds = monitor.beginSample(at);
    filter.refill(seconds);
    quotas.refill(seconds);
    costs.updateSlowdown(seconds, requests.openRequests());
    callLimiter.fade(seconds);
    costs.fade(seconds);
    faults.recover(context.cores(), seconds);
    monitor.measureUtilization(sample);
    if (!monitor.isStalled()) {
      observe(sample);
    }
    runScheduler.updateLimit(monitor, sample);
  }

  /** Updates the load index from a sample and publishes how much traffic is wanted. */
  private void observe(GaugeSample sample) {
    double memoryKb = Math.max(1, context.settings().machine().memoryKb());
    boolean rejectsAll =
        monitor.observe(
            sample,
            memory.usedByAllKb() / memoryKb,
            ceiling.toleratedConcurrency(),
            costs.backlogRatio(requests.openRequests()),
            costs.takeCompletedWork());
    if (rejectsAll) {
      host.log("refuse-all reached");
    }
    long uptimeMicros = context.now() - context.startedAt();
    backpressure.sample(faults.areRunsFailing(), monitor.isIdle(), uptimeMicros);
  }

  /** Advances all state that depends on time to the time of an event. */
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
