package mothwing.broker;

/** The dependency call, if any, that the run of one request awaits, and the result of the call. */
final class AwaitedCall {
  private byte[] content;
  private byte[] unsentResult;
  private boolean inProgress;
  private boolean answerSent;
  private boolean answerUnsent;
  private long timeoutAt;

  /** The content of the call, or null if the run awaits none. */
  byte[] content() {
    return content;
  }

  /** Whether the call has been started and has not ended. */
  boolean isInProgress() {
    return inProgress;
  }

  /** When the call times out, in microseconds of the monotonic clock. */
  long timeoutAt() {
    return timeoutAt;
  }

  /** Whether the last command to the pool was the answer to a call. */
  boolean isAnswerSent() {
    return answerSent;
  }

  /** Whether the command to resume the run has not been written to a connection yet. */
  boolean isAnswerUnsent() {
    return answerUnsent;
  }

  /** The result of an answer that is not sent yet; null if the run is resumed without a result. */
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

  /** Records that the run is resumed, with a result or null: now or once there is a connection. */
  void answer(byte[] result, boolean connected) {
    content = null;
    unsentResult = connected ? null : result;
    answerUnsent = !connected;
    answerSent = connected;
  }

  void clear() {
    content = null;
    unsentResult = null;
    inProgress = false;
    answerSent = false;
    answerUnsent = false;
  }
}
