package mothwing.broker;

/**
 * Holds whether this process serves, is out of rotation, hands over to another process at the same
 * address, or shuts down, and derives the effect on admission, health checks and retry advice.
 * Times are microseconds of the monotonic clock.
 */
final class ShutdownState {
  /** The kind of shutdown. */
  enum Mode {
    /** No shutdown was requested. */
    NONE,
    /** Another process serves clients at the same address; they must not be kept away. */
    HANDING_OVER,
    /** The server leaves, and no other process serves its clients. */
    LEAVING
  }

  private Mode mode = Mode.NONE;
  private Rotation rotation = new LocalRotation();
  private long requestedAt;
  private long stopAt;
  private long gracePeriodMicros;

  /** The rotation of a server with a single process. */
  private static final class LocalRotation implements Rotation {
    private boolean outOfRotation;

    @Override
    public boolean isOutOfRotation() {
      return outOfRotation;
    }

    @Override
    public void setOutOfRotation(boolean isOut) {
      outOfRotation = isOut;
    }
  }

  /** Sets the rotation, which all processes of the server share. */
  void setRotation(Rotation shared) {
    rotation = shared;
  }

  /** Takes the server out of rotation or puts it back; false after a shutdown was requested. */
  boolean setOutOfRotation(boolean isOut) {
    if (isDraining()) {
      return false;
    }
    rotation.setOutOfRotation(isOut);
    return true;
  }

  boolean isOutOfRotation() {
    return rotation.isOutOfRotation();
  }

  /**
   * Begins a shutdown. Requests that are read within the grace period may still run. Only the first
   * call has an effect.
   */
  void begin(long shutdownAt, long processStopAt, long graceMicros, boolean handover) {
    if (!isDraining()) {
      mode = handover ? Mode.HANDING_OVER : Mode.LEAVING;
      requestedAt = shutdownAt;
      stopAt = processStopAt;
      gracePeriodMicros = graceMicros;
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
   * The time from which the controller rejects new requests. In a handover it is the end of the
   * grace period, or half-way to the stop, whichever is earlier; otherwise the time of the request.
   */
  long admissionClosesAt() {
    return isHandingOver()
        ? requestedAt + Math.min(gracePeriodMicros, (stopAt - requestedAt) / 2)
        : requestedAt;
  }

  /**
   * Whether a request may still be run, by the time at which it was read completely. The arrival
   * time that its gateway states is not used, as its last byte may have been sent long after.
   */
  boolean mayStillRun(long readAt) {
    return !isDraining() || readAt <= requestedAt + gracePeriodMicros;
  }

  /** Whether health checks may succeed, given whether the controller permits it. */
  boolean isHealthy(boolean permitted) {
    return !isOutOfRotation() && (permitted || isHandingOver());
  }

  /**
   * The retry advice of a rejection: none in a handover, since gateways would apply it to the
   * process that takes over too.
   */
  long allowedRetryAfter(long retryAfter) {
    return isHandingOver() ? 0 : retryAfter;
  }
}
