package mothwing.overload;

/**
 * Counts the dependency calls that one run has reached and the attempts of its current call. Times
 * are microseconds of the controller's clock.
 */
final class CallProgress {
  private int reachedCalls;
  private int attempts;
  private long nextAttemptAt;
  private long attemptStartedAt;

  /** Records that the run has reached a call, which may be attempted at once. */
  void reach(long now) {
    reachedCalls++;
    attempts = 0;
    nextAttemptAt = now;
  }

  /** Records the start of an attempt. */
  void startAttempt(long now) {
    attemptStartedAt = now;
    attempts++;
  }

  /** Sets the earliest start of the next attempt. */
  void retryAt(long at) {
    nextAttemptAt = at;
  }

  /** Uses up the remaining attempts of the current call. */
  void exhaust(int maxAttempts) {
    attempts = maxAttempts;
  }

  /** Returns the number of calls that the run has reached. */
  int reachedCalls() {
    return reachedCalls;
  }

  /** Returns the number of attempts of the current call. */
  int attempts() {
    return attempts;
  }

  /** Returns the earliest start of the next attempt. */
  long nextAttemptAt() {
    return nextAttemptAt;
  }

  /** Returns the start of the last attempt. */
  long attemptStartedAt() {
    return attemptStartedAt;
  }
}
