package mothwing.admin;

import java.util.Optional;

/** The operations of a running shop server for operators. Called on the event loop only. */
public interface AdminOperations {
  /**
   * Whether this process serves clients.
   *
   * @return true from when it listens for them and its worker pool is connected, until it drains
   */
  boolean isServing();

  /**
   * The statistics of this moment.
   *
   * @return one JSON object on one line
   */
  String statistics();

  /**
   * This server's view of its fleet.
   *
   * @return one JSON object on one line, or none where the server belongs to no fleet
   */
  Optional<String> members();

  /**
   * Takes the server out of rotation, or back: health checks fail from now on, or succeed again.
   * Idempotent.
   *
   * @param outOfRotation whether gateways are to use other servers
   * @return false where the process is draining, in which case nothing has changed
   */
  boolean setOutOfRotation(boolean outOfRotation);
}
