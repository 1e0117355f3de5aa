/**
 * Durable storage: an append-only journal with snapshots, group commit for it, and a table of key
 * leases that the processes of one machine share.
 *
 * <p>A {@link mothwing.store.Journal} blocks and is used by one thread at a time; {@link
 * mothwing.store.GroupCommitter} lets an owner that must not block use one through a writer thread.
 * Invariant: a record is acknowledged only once it survives a power loss, and an acknowledged
 * record that cannot be read again is reported as corruption, except in the last frame, which
 * cannot be told from a torn write: it is truncated and logged.
 */
package mothwing.store;
