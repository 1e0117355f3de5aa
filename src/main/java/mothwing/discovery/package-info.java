/**
 * Load reports to the discovery service, which keep this server on the endpoint list.
 *
 * <p>{@link mothwing.discovery.LoadReportProtocol} is the only class that knows the HTTP messages.
 * All state is confined to the event loop that runs the scheduler. Invariant: at most one
 * connection carries reports, and at most one report on it is unanswered.
 */
package mothwing.discovery;
