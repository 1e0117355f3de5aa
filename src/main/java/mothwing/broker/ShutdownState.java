package mothwing.broker;

/**
 * Whether this process stays, sends its gateways away, hands over to another at the same address,
 * or leaves; and what that means for arrivals, checks and advice. Times are microseconds of the
 * monotonic clock.
 */
final class ShutdownState {
  /** How it goes. */
  enum Mode {
    /** It stays. */
    NONE,
    /** Another process takes clients at its address: nothing may be said that keeps them away. */
    HANDING_OVER,
    /** The server goes. */
    LEAVING
  }

  private Mode way = Mode.NONE;
  private boolean outOfRotation;
  private long noticeAt;
  private long stopAt;
  private long grace;

  /** Sends gateways away, or ends that. Says false after the notice, when nothing changes. */
  boolean outOfRotation(boolean now) {
    if (isDraining()) {
      return false;
    }
    outOfRotation = now;
    return true;
  }

  boolean outOfRotation() {
    return outOfRotation;
  }

  /**
   * The notice to leave came; what arrives in the grace after it may still run. Only the first one
   * counts.
   */
  void begin(long at, long stop, long spanOfGrace, boolean handover) {
    if (!isDraining()) {
      way = handover ? Mode.HANDING_OVER : Mode.LEAVING;
      noticeAt = at;
      stopAt = stop;
      grace = spanOfGrace;
    }
  }

  boolean isDraining() {
    return way != Mode.NONE;
  }

  boolean isHandingOver() {
    return way == Mode.HANDING_OVER;
  }

  long stopAt() {
    return stopAt;
  }

  /**
   * When the controller is to turn away what comes: at once, or, handing over, after half of the
   * time that is left.
   */
  long admissionClosesAt() {
    return isHandingOver() ? noticeAt + Math.min(grace, (stopAt - noticeAt) / 2) : noticeAt;
  }

  /**
   * Whether what was read whole then may still be run: what a gateway says of its arrival proves
   * nothing.
   */
  boolean mayStillRun(long readAt) {
    return !isDraining() || readAt <= noticeAt + grace;
  }

  /** The best that a check may say, where the controller says so much. */
  boolean isHealthy(boolean controller) {
    return !outOfRotation && (controller || isHandingOver());
  }

  /**
   * The span to stay away that a refusal may advise: those who hand over do not speak for the next
   * one.
   */
  long retryAfter(long span) {
    return isHandingOver() ? 0 : span;
  }
}
