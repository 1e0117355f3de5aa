/**
 * Temporary traffic overrides, pure: a replicated table whose entries carry an age instead of a
 * date and end on every replica, kept in step by anti-entropy.
 *
 * <p>Safety does not rest on synchronized clocks, on a view of the members, or on a message that
 * arrives exactly once. Nothing in a server uses it yet.
 */
package mothwing.override;
