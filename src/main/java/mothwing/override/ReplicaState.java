package mothwing.override;

/**
 * What a holder says of an override at one moment, in answer to a question or to its own disk.
 *
 * @param id its id
 * @param version the version, or null of a revocation of what its holder never knew
 * @param status how it stands
 * @param age microseconds that it has lasted at the most, where it is in force or unsure
 * @param value the override itself, or null where it is over
 */
public record ReplicaState(
    String id, Version version, OverrideStatus status, long age, TrafficOverride value) {}
