package mothwing.override;

import java.util.List;

/**
 * A message between servers about overrides. It may be lost, delayed or duplicated, or stem from
 * before a restart of its sender.
 */
public sealed interface OverrideMessage {
  /**
   * A hash of all confirmed states of the sender. A receiver with another hash replies with an
   * {@link Inventory}.
   *
   * @param hash the hash
   */
  record Digest(long hash) implements OverrideMessage {}

  /**
   * The overrides that the sender has, so that the receiver can request those that it lacks. Ages
   * are left out: they would be out of date by the unknown delay of the message.
   *
   * @param entries an entry for each override
   * @param partial whether the sender may have more overrides than these
   */
  record Inventory(List<InventoryEntry> entries, boolean partial) implements OverrideMessage {}

  /**
   * One override that the sender of an inventory has.
   *
   * @param id the id of the override
   * @param version its version, or null
   * @param status its status at the sender
   */
  record InventoryEntry(String id, Version version, OverrideStatus status) {}

  /**
   * A request for the states of overrides.
   *
   * @param number a random number that identifies the request, also across restarts
   * @param ids the ids of the overrides
   */
  record Request(long number, List<String> ids) implements OverrideMessage {}

  /**
   * The response to a {@link Request}.
   *
   * @param number the number of the request
   * @param states the states of those requested overrides that the sender knows
   */
  record Response(long number, List<ReplicaState> states) implements OverrideMessage {}

  /**
   * Acknowledges that the sender has persisted a state.
   *
   * @param id the id of the override
   * @param version its version, or null
   * @param status its status at the sender
   */
  record Stored(String id, Version version, OverrideStatus status) implements OverrideMessage {}
}
