package mothwing.broker;

/**
 * Whether this process serves, is out of rotation, hands over to another at the same address, or
 * shuts down; and what that means for admission, health checks and retry advice. Times are
 * microseconds of the monotonic clock.
 */
final class ShutdownState {
  /** The kind of shutdown. */
  enum Mode {
    /** None was requested. */
    NONE,
    /** Another process takes clients at the same address; nothing may keep them away. */
    HANDING_OVER,
    /** The server ends. */
    LEAVING
  }

  private Mode mode = Mode.NONE;
  private boolean outOfRotation;
  private long noticeAt;
  private long stopAt;
  private long grace;

  /** Takes the server out of rotation or puts it back; false once a shutdown was requested. */
  boolean setOutOfRotation(boolean now) {
    if (isDraining()) {
      return false;
    }
    outOfRotation = now;
    return true;
  }

  boolean isOutOfRotation() {
    return outOfRotation;
  }

  /**
   * A shutdown is requested; what is read in the grace period after it may still run. Only the
   * first request counts.
   */
  void begin(long at, long stop, long spanOfGrace, boolean handover) {
    if (!isDraining()) {
      mode = handover ? Mode.HANDING_OVER : Mode.LEAVING;
      noticeAt = at;
      stopAt = stop;
      grace = spanOfGrace;
    }
  }

  boolean isDraining() {
    return mode != Mode.NONE;
  }

  boolean isHandingOver() {
    return mode == Mode.HANDING_OVER;
  }

  long stopAt() {
    return stopAt;
  }

  /**
   * When the controller is to reject new requests: at once, or in a handover after half of the time
   * that is left.
   */
  long admissionClosesAt() {
    return isHandingOver() ? noticeAt + Math.min(grace, (stopAt - noticeAt) / 2) : noticeAt;
  }

  /**
   * Whether a request may still be run, by when it was read completely; the arrival that a gateway
   * states proves nothing.
   */
  boolean mayStillRun(long readAt) {
    return !isDraining() || readAt <= noticeAt + grace;
  }

  /** Whether health checks may succeed, given whether the controller lets them. */
  boolean isHealthy(boolean controller) {
    return !outOfRotation && (controller || isHandingOver());
  }

  /**
   * The retry advice of a rejection: none in a handover, as it would hold for the next process too.
   */
  long retryAfter(long span) {
    return isHandingOver() ? 0 : span;
  }
}
