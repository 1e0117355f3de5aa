package mothwing.override;

/**
 * The state of an override at one replica at one moment, as sent in a response or written to disk.
 *
 * @param id the id of the override
 * @param version its version, or null if it was revoked at a replica that did not know the override
 * @param status its status
 * @param age in microseconds: an upper bound if it is active; without the unknown time on disk if
 *     it is unconfirmed; 0 if it is expired or revoked
 * @param value the override itself, or null if it is expired or revoked
 */
public record ReplicaState(
    String id, Version version, OverrideStatus status, long age, TrafficOverride value) {}
