package mothwing.overload;

/** The dependency calls of one run: how many it reached, and the attempts of the current one. */
final class CallProgress {
  private int reached;
  private int attempts;
  private long nextAttemptAt;
  private long attemptStartedAt;

  /** The run reaches a call, which may be attempted at once. */
  void reach(long now) {
    reached++;
    attempts = 0;
    nextAttemptAt = now;
  }

  /** An attempt starts. */
  void startAttempt(long now) {
    attemptStartedAt = now;
    attempts++;
  }

  /** The next attempt is made at the given time at the earliest. */
  void retryAt(long at) {
    nextAttemptAt = at;
  }

  /** Allows no further attempt. */
  void exhaust(int maxAttempts) {
    attempts = maxAttempts;
  }

  /** Calls that the run has reached. */
  int reached() {
    return reached;
  }

  /** Attempts of the current call. */
  int attempts() {
    return attempts;
  }

  /** When the next attempt may start, in microseconds. */
  long nextAttemptAt() {
    return nextAttemptAt;
  }

  /** When the last attempt started, in microseconds. */
  long attemptStartedAt() {
    return attemptStartedAt;
  }
}
