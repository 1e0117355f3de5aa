package mothwing.override;

import java.util.List;

/**
 * What servers say to each other of overrides. Each may be lost, late, repeated, or from a start
 * long gone.
 */
public sealed interface OverrideMessage {
  /**
   * A hash of all that its sender knows surely; who knows something else answers with {@link
   * Known}.
   *
   * @param hash the hash
   */
  record Digest(long hash) implements OverrideMessage {}

  /**
   * What its sender has, so that others may ask for it. Ages are not in it: they would be as old as
   * the message.
   *
   * @param all one for each
   * @param part whether its sender knows more than these
   */
  record Known(List<Has> all, boolean part) implements OverrideMessage {}

  /**
   * One that a sender has.
   *
   * @param id its id
   * @param stamp its stamp, or null
   * @param standing how it stands there
   */
  record Has(String id, Version stamp, OverrideStatus standing) {}

  /**
   * A question.
   *
   * @param number its number, drawn at random: none of a former start is like it
   * @param ids what is asked for
   */
  record Ask(long number, List<String> ids) implements OverrideMessage {}

  /**
   * The answer to a question.
   *
   * @param number that of the question
   * @param all what is known of what was asked for
   */
  record Answer(long number, List<ReplicaState> all) implements OverrideMessage {}

  /**
   * Its sender has one on its disk, forced.
   *
   * @param id its id
   * @param stamp its stamp
   * @param standing how it stands there
   */
  record Stored(String id, Version stamp, OverrideStatus standing) implements OverrideMessage {}
}
