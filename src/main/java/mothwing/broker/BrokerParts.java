package mothwing.broker;

import mothwing.control.Settings;

/** Creates the parts of one broker and connects them. */
final class BrokerParts {
  final BrokerContext context;
  final RequestStatistics statistics = new RequestStatistics();
  final ShutdownState shutdownState = new ShutdownState();
  final IdempotencyKeys keys = new IdempotencyKeys();
  final ShutdownSequence shutdown;
  final PublishedFreeValue freeValue;
  final DependencyCalls calls;
  final RequestAnswers answers;
  final RequestIntake intake;
  final RunAdmission admission;
  final RunLifecycle runs;
  final RunReconciler reconciler;
  final Replays replays;
  final GaugeSampler gauges;
  final HealthChecks checks;
  final DeadlineWatch deadlines;

  BrokerParts(
      Settings settings, WorkerPool pool, Scheduler scheduler, Counters counters, EventLog log) {
    OpenRequests open = new OpenRequests();
    ActiveSettings active = new ActiveSettings(settings);
    EventBatcher events =
        new EventBatcher(scheduler, () -> active.settings().batchInterval(), counters, log);
    RateLimitedEventLog requestLog = new RateLimitedEventLog(log, scheduler);
    context = new BrokerContext(open, active, pool, scheduler, events, counters, log, requestLog);
    shutdown = new ShutdownSequence(context, shutdownState);
    freeValue = new PublishedFreeValue(settings.signals().freeValue());
    calls = new DependencyCalls(open, pool, this::sentPolls, events, scheduler, counters);
    answers = new RequestAnswers(counters, requestLog, statistics, calls);
    intake = new RequestIntake(context, keys, answers, statistics, calls);
    admission = new RunAdmission(context, keys, shutdownState, answers);
    replays = new Replays(open, keys, answers, events, counters);
    runs =
        new RunLifecycle(
            context, keys, admission, answers, calls, replays, statistics, this::sentPolls);
    reconciler =
        new RunReconciler(
            open, pool, counters, log, () -> active.settings().machine().stopMode(), runs);
    gauges = new GaugeSampler(pool, scheduler, active, reconciler, events, counters);
    checks = new HealthChecks(pool, scheduler, shutdownState, counters);
    deadlines =
        new DeadlineWatch(
            context, new DeadlineWatch.Parts(calls, answers, reconciler, replays, keys, checks));
    active.classNames().forEach(statistics::register);
  }

  private long sentPolls() {
    return reconciler.sentPolls();
  }
}
