/**
 * The core of the server. It owns each open request from its reading until it is answered and the
 * worker pool has no run of it, delivers events to the controller in batches, and carries out the
 * actions that the controller requests. {@link mothwing.broker.Broker} is the only entry point for
 * fronts, the pool, the dependency client and operators.
 *
 * <p>All code runs on the thread of the event loop; no class here is thread-safe. Invariants: a
 * request is answered at most once and never after its caller has cancelled it; a request that must
 * run at most once is never handed to the pool again after it may have run; the controller is
 * notified of the end of every run that it started.
 */
package mothwing.broker;
