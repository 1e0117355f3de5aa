package mothwing.broker;

/**
 * Carries out a requested shutdown: closes admission at the right time by telling the controller,
 * and logs changes of the rotation.
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

  /** The controller has started; a shutdown that was requested before is reported to it now. */
  void controllerStarted() {
    controllerStarted = true;
    if (state.isDraining()) {
      closeAdmission();
    }
  }

  /** Takes the server out of rotation or puts it back; false once a shutdown was requested. */
  boolean setOutOfRotation(boolean now) {
    boolean before = state.isOutOfRotation();
    if (!state.setOutOfRotation(now)) {
      return false;
    }
    if (now != before) {
      log(now ? EventNames.OUT_OF_ROTATION : EventNames.IN_ROTATION, "");
    }
    return true;
  }

  /** Requests the shutdown; only the first request counts. Times are of the monotonic clock. */
  void request(long noticeAt, long stopAt, boolean handover) {
    if (state.isDraining()) {
      return;
    }
    long grace = context.settings().settings().limits().drainGracePeriod();
    state.begin(noticeAt, stopAt, grace, handover);
    long leftMillis = (stopAt - noticeAt) / MICROS_PER_MILLI;
    log(EventNames.SHUTDOWN_REQUESTED, " stop_ms=" + leftMillis + " handover=" + handover);
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
    context.events().enqueue((to, at) -> to.shutdownRequested(at, state.stopAt()));
  }

  private void log(String event, String details) {
    context.log().write(event + " pending=" + context.open().pendingCount() + details);
  }
}
