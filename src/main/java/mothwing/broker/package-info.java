/**
 * The core of the server: it owns every open request from the moment it was read until it is
 * answered and the worker pool has no run of it, gives the controller its events in batches, and
 * carries out the actions that the controller asks for. Fronts, pool, dependency and operators talk
 * to {@link mothwing.broker.Broker} alone.
 *
 * <p>Everything happens on the thread of the event loop; no class here is safe for other threads.
 * Invariants: a request is answered at most once and never after its caller has cancelled it; a
 * request that must run at most once is never handed to the pool again after it may have run; the
 * controller is notified of the end of every run that it started.
 */
package mothwing.broker;
