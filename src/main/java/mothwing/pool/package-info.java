/**
 * The client of the worker pool: one connection in use, reconnection with backoff, and the replay
 * of missed notices after a reconnect.
 *
 * <p>{@link mothwing.pool.PoolProtocol} is the only class that depends on the format of the pool's
 * protocol; all others use its typed commands and notices. All state belongs to the event loop of
 * the broker: no class here is thread-safe. Invariant: the broker receives each numbered notice at
 * most once, in the order of the numbers.
 */
package mothwing.pool;
