package mothwing.override;

/**
 * What a holder says of an override at one moment, in answer to a question or to its own disk.
 *
 * @param id its id
 * @param stamp the stamp, or null of a revocation of what its holder never knew
 * @param standing how it stands
 * @param age microseconds that it has lasted at the most, where it is in force or unsure
 * @param value the override itself, or null where it is over
 */
public record ReplicaState(
    String id, Version stamp, OverrideStatus standing, long age, TrafficOverride value) {}
