/**
 * The client of the dependency that suspended runs call: one connection for all calls, replaced
 * when it is silent or when a late answer on it could be taken for that of another call.
 *
 * <p>{@link mothwing.dependency.DependencyProtocol} is the only class that knows the words of the
 * wire. All state belongs to the event loop of the broker. Invariant: the broker is notified of the
 * end of a call at most once, and never of an abandoned one.
 */
package mothwing.dependency;
