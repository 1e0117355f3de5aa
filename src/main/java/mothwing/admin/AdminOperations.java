package mothwing.admin;

import java.util.Optional;

/** The operations of a running server for operators. Called on the event loop only. */
public interface AdminOperations {
  /**
   * Returns whether this process serves clients.
   *
   * @return true once it listens for clients and its worker pool is connected, until it drains
   */
  boolean isServing();

  /**
   * Returns the current statistics.
   *
   * @return one JSON object on one line
   */
  String statistics();

  /**
   * Returns this server's view of its fleet.
   *
   * @return one JSON object on one line, or empty if the server belongs to no fleet
   */
  Optional<String> members();

  /**
   * Takes the server out of rotation or puts it back: health checks fail from now on, or succeed
   * again. Idempotent.
   *
   * @param outOfRotation whether gateways are to use other servers
   * @return false if the process is draining, in which case nothing has changed
   */
  boolean setOutOfRotation(boolean outOfRotation);
}
