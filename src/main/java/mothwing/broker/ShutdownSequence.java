package mothwing.broker;

/**
 * Carries out a requested shutdown: reports it to the controller when admission is to close, and
 * logs changes of the rotation.
 */
final class ShutdownSequence {
  private static final long MICROS_PER_MILLI = 1000;

  private final BrokerContext context;
  private final ShutdownState state;
  private boolean controllerStarted;

  ShutdownSequence(BrokerContext context, ShutdownState state) {
    this.context = context;
    this.state = state;
  }

  /** Starts with the controller, and reports to it a shutdown that was requested before. */
  void controllerStarted() {
    controllerStarted = true;
    if (state.isDraining()) {
      closeAdmission();
    }
  }

  /** Sets the rotation, in which operators may have taken the server out before this process. */
  void setRotation(Rotation rotation) {
    state.setRotation(rotation);
    if (state.isOutOfRotation()) {
      log(EventNames.OUT_OF_ROTATION, "");
    }
  }

  /** Takes the server out of rotation or puts it back; false after a shutdown was requested. */
  boolean setOutOfRotation(boolean outOfRotation) {
    boolean wasOutOfRotation = state.isOutOfRotation();
    if (!state.setOutOfRotation(outOfRotation)) {
      return false;
    }
    if (outOfRotation != wasOutOfRotation) {
      log(outOfRotation ? EventNames.OUT_OF_ROTATION : EventNames.IN_ROTATION, "");
    }
    return true;
  }

  /** Requests the shutdown; only the first request counts. Times are of the monotonic clock. */
  void request(long requestedAt, long stopAt, boolean handover) {
    if (state.isDraining()) {
      return;
    }
    long gracePeriod = context.settings().settings().limits().drainGracePeriod();
    state.begin(requestedAt, stopAt, gracePeriod, handover);
    long remainingMillis = (stopAt - requestedAt) / MICROS_PER_MILLI;
    log(EventNames.SHUTDOWN_REQUESTED, " stop_ms=" + remainingMillis + " handover=" + handover);
    if (!controllerStarted) {
      return;
    }
    if (state.admissionClosesAt() > context.scheduler().now()) {
      context.scheduler().schedule(state.admissionClosesAt(), this::closeAdmission);
    } else {
      closeAdmission();
    }
  }

  private void closeAdmission() {
    context.events().enqueue((receiver, at) -> receiver.shutdownRequested(at, state.stopAt()));
  }

  private void log(String event, String details) {
    context.log().write(event + " pending=" + context.open().pendingCount() + details);
  }
}
