package mothwing.admin;

/** What operators may ask of a running shop server. All of it is called on the event loop. */
public interface AdminOperations {
  /**
   * Whether this process takes clients.
   *
   * @return true from when it listens for them and its worker pool is up, until the notice to leave
   */
  boolean isServing();

  /**
   * The figures of this moment.
   *
   * @return one JSON object on one line
   */
  String statistics();

  /**
   * What this server holds of its fleet.
   *
   * @return one JSON object on one line, or null where it is of no fleet
   */
  String members();

  /**
   * Sends gateways away, or ends that: health checks are bad from now on, or good again. Both may
   * be said twice.
   *
   * @param away whether gateways are to go
   * @return false where the process is leaving for good, in which case nothing has changed
   */
  boolean setOutOfRotation(boolean away);
}
