package mothwing.override;

import java.util.List;

/**
 * What servers say to each other of overrides. Each may be lost, late, repeated, or from a start
 * long gone.
 */
public sealed interface OverrideMessage {
  /**
   * A hash of all that its sender knows surely; who knows something else answers with {@link
   * Inventory}.
   *
   * @param hash the hash
   */
  record Digest(long hash) implements OverrideMessage {}

  /**
   * What its sender has, so that others may ask for it. Ages are not in it: they would be as old as
   * the message.
   *
   * @param entries one for each
   * @param partial whether its sender knows more than these
   */
  record Inventory(List<InventoryEntry> entries, boolean partial) implements OverrideMessage {}

  /**
   * One that a sender has.
   *
   * @param id its id
   * @param version its version, or null
   * @param status how it stands there
   */
  record InventoryEntry(String id, Version version, OverrideStatus status) {}

  /**
   * A question.
   *
   * @param number its number, drawn at random: none of a former start is like it
   * @param ids what is asked for
   */
  record Request(long number, List<String> ids) implements OverrideMessage {}

  /**
   * The answer to a question.
   *
   * @param number that of the question
   * @param states what is known of what was asked for
   */
  record Response(long number, List<ReplicaState> states) implements OverrideMessage {}

  /**
   * Its sender has one on its disk, forced.
   *
   * @param id its id
   * @param version its version
   * @param status how it stands there
   */
  record Stored(String id, Version version, OverrideStatus status) implements OverrideMessage {}
}
