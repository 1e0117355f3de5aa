package mothwing.server;

/** Counts successful and failed reloads of the configuration. Used on the event loop only. */
final class ReloadStatistics {
  private long succeeded;
  private long failed;

  /** Counts a configuration that was applied. */
  void countSuccess() {
    succeeded++;
  }

  /** Counts a configuration that was rejected. */
  void countFailure() {
    failed++;
  }

  /** Returns the number of successful reloads. */
  long succeeded() {
    return succeeded;
  }

  /** Returns the number of failed reloads. */
  long failed() {
    return failed;
  }
}
