/**
 * Reports this server to the discovery service, so that it stays on the endpoint list.
 *
 * <p>{@link mothwing.discovery.LoadReportProtocol} is the only class that knows the HTTP messages.
 * All state belongs to the event loop that runs the scheduler. Invariant: at most one connection
 * carries reports, and at most one report is unanswered on it.
 */
package mothwing.discovery;
