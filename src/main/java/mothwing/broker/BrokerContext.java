package mothwing.broker;

/**
 * The state and services that the parts of one broker share.
 *
 * @param open the open requests
 * @param settings the settings in force
 * @param pool the worker pool that runs the requests
 * @param scheduler the clocks and timers
 * @param events queues the events for the controller
 * @param counters the counters of events
 * @param log receives the log lines
 * @param requestLog logs events of single requests at a bounded rate
 */
record BrokerContext(
    OpenRequests open,
    ActiveSettings settings,
    WorkerPool pool,
    Scheduler scheduler,
    EventBatcher events,
    Counters counters,
    EventLog log,
    RateLimitedEventLog requestLog) {}
