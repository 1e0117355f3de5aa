package mothwing.broker;

/** The dependency call, if any, that the run of one request awaits, and the result of the call. */
final class AwaitedCall {
  private byte[] content;
  private byte[] unsentResult;
  private boolean inProgress;
  private boolean resumeSent;
  private boolean resumeUnsent;
  private long timeoutAt;

  /** The content of the call, or null if the run awaits none. */
  byte[] content() {
    return content;
  }

  /** Whether the call has been started and has not ended. */
  boolean isInProgress() {
    return inProgress;
  }

  /**
   * When the broker ends the call, which is later than the dependency's limit, in microseconds of
   * the monotonic clock.
   */
  long timeoutAt() {
    return timeoutAt;
  }

  /** Whether the run was resumed over a connection, and has awaited no call since. */
  boolean isResumeSent() {
    return resumeSent;
  }

  /** Whether the command to resume the run has not been written to a connection yet. */
  boolean isResumeUnsent() {
    return resumeUnsent;
  }

  /**
   * The result of the unsent answer; null if none is unsent, or the run is resumed without a
   * result.
   */
  byte[] unsentResult() {
    return unsentResult;
  }

  void await(byte[] callContent) {
    clear();
    content = callContent;
  }

  void start(long callTimeoutAt) {
    inProgress = true;
    timeoutAt = callTimeoutAt;
  }

  /** Ends the call. Returns whether it was in progress. */
  boolean end() {
    boolean wasInProgress = inProgress;
    inProgress = false;
    return wasInProgress;
  }

  /**
   * Records that the run is resumed, at once if connected, otherwise after the next connection.
   *
   * @param result null to resume without one
   */
  void answer(byte[] result, boolean connected) {
    content = null;
    unsentResult = connected ? null : result;
    resumeUnsent = !connected;
    resumeSent = connected;
  }

  void clear() {
    content = null;
    unsentResult = null;
    inProgress = false;
    resumeSent = false;
    resumeUnsent = false;
  }
}
