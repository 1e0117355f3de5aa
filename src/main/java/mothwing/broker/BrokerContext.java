package mothwing.broker;

/**
 * What the parts of one broker share.
 *
 * @param open the open requests
 * @param settings the settings in force
 * @param pool runs the requests
 * @param scheduler the clocks
 * @param events takes events for the controller
 * @param counters counts what happens
 * @param log takes log lines
 * @param reasons takes log lines about single requests, at a bounded rate
 */
record BrokerContext(
    OpenRequests open,
    ActiveSettings settings,
    WorkerPool pool,
    Scheduler scheduler,
    EventBatcher events,
    Counters counters,
    EventLog log,
    RateLimitedEventLog reasons) {}
