/**
 * The client of the dependency that suspended runs call. All calls use one connection, which is
 * replaced when it is silent, or when a late answer on it could be mistaken for the answer to
 * another call.
 *
 * <p>{@link mothwing.dependency.DependencyProtocol} is the only class that depends on the format of
 * the protocol. All state belongs to the event loop of the broker. Invariant: the broker is
 * notified of the end of a call at most once, and never of the end of an abandoned call.
 */
package mothwing.dependency;
