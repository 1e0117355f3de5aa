package mothwing.server;

/** How often the configuration was reloaded, and how often that failed. On the event loop only. */
final class ReloadStatistics {
  private long succeeded;
  private long failed;

  /** A new configuration is in force. */
  void countSuccess() {
    succeeded++;
  }

  /** A new configuration was rejected. */
  void countFailure() {
    failed++;
  }

  /** Reloads that succeeded. */
  long succeeded() {
    return succeeded;
  }

  /** Reloads that failed. */
  long failed() {
    return failed;
  }
}
