package mothwing.broker;

/** The dependency call that the run of one request awaits, if there is one, and its result. */
final class AwaitedCall {
  private byte[] content;
  private byte[] unsentResult;
  private boolean inProgress;
  private boolean answerSent;
  private boolean answerUnsent;
  private long until;

  /** What the run asks for, or null where it awaits no call. */
  byte[] content() {
    return content;
  }

  /** Whether the call was started and has not ended. */
  boolean isInProgress() {
    return inProgress;
  }

  /** When the call counts as timed out. */
  long until() {
    return until;
  }

  /** Whether the last command to the pool was the answer to a call. */
  boolean isAnswerSent() {
    return answerSent;
  }

  /** Whether the run is to be resumed, and no connection has carried that yet. */
  boolean isAnswerUnsent() {
    return answerUnsent;
  }

  /** The result for an answer that is unsent; null where the run is resumed without one. */
  byte[] unsentResult() {
    return unsentResult;
  }

  void await(byte[] asked) {
    clear();
    content = asked;
  }

  void start(long timeOutAt) {
    inProgress = true;
    until = timeOutAt;
  }

  /** Ends the call. Returns whether it was in progress. */
  boolean end() {
    boolean wasInProgress = inProgress;
    inProgress = false;
    return wasInProgress;
  }

  /** The run is resumed, with a result or null, now or once there is a connection. */
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
