package mothwing.override;

/**
 * The state of an override at one replica at one moment, as sent in a response or written to disk.
 *
 * @param id the id of the override
 * @param version its version, or null if its replica revoked it without knowing it
 * @param status its status
 * @param age in microseconds: an upper bound if it is active, a lower bound if it is unconfirmed
 * @param value the override itself, or null if it is expired or revoked
 */
public record ReplicaState(
    String id, Version version, OverrideStatus status, long age, TrafficOverride value) {}
