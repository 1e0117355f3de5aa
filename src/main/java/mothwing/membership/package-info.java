/**
 * Group membership after SWIM and Lifeguard: failure detection by probes, suspicion with
 * refutation, dissemination by gossip and periodic anti-entropy. All classes are confined to the
 * thread that owns the {@link mothwing.broker.Scheduler}; time, random numbers and the network are
 * injected, so that a simulation is reproducible. The incarnation known for a member never
 * decreases, and only the member itself raises it.
 */
package mothwing.membership;
