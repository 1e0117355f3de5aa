/**
 * The client of the worker pool: one connection in use, reconnection with backoff, and the replay
 * of missed notices after a reconnect.
 *
 * <p>{@link mothwing.pool.PoolProtocol} is the only class that knows the words of the pool's wire;
 * all others use its typed commands and notices. All state belongs to the event loop of the broker:
 * nothing here is safe for use by several threads. Invariant: the broker sees each numbered notice
 * at most once, in the order of the numbers.
 */
package mothwing.pool;
