/**
 * Group membership after SWIM and Lifeguard: failure detection by probes, suspicion with
 * refutation, dissemination by gossip and periodic anti-entropy. Every class belongs to the one
 * thread that owns the {@link mothwing.broker.Scheduler}; time, random numbers and the network come
 * from outside, so that a run is reproducible. The incarnation that is held for a member never
 * decreases, and a member alone raises its own.
 */
package mothwing.membership;
