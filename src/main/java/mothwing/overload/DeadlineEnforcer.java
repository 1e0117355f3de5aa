package mothwing.overload;

import mothwing.overload.TrackedRequest.State;

/**
 * Answers every request before it is due, and rejects held requests that can no longer be answered
 * in time.
 */
final class DeadlineEnforcer {
  private final ControllerContext context;
  private final RequestTable requests;
  private final DeadlineAdmission deadlines;
  private final RequestCompletion completion;

  DeadlineEnforcer(
      ControllerContext context,
      RequestTable requests,
      DeadlineAdmission deadlines,
      RequestCompletion completion) {
    this.context = context;
    this.requests = requests;
    this.deadlines = deadlines;
    this.completion = completion;
  }

  /** Checks all open requests. */
  void enforce() {
    for (TrackedRequest request : requests.snapshot()) {
      if (!request.isAnswered()) {
        enforce(request);
      }
    }
  }

  private void enforce(TrackedRequest request) {
    long now = context.now();
    boolean due = now + context.dueMargin() >= request.dueAt();
    boolean neverRan = request.is(State.HELD) && !request.everRan();
    boolean waits = request.is(State.AWAITING_CALL) || request.is(State.REPLAYING);
    if (neverRan && (due || isOutOfReach(request))) {
      completion.reject(request);
    } else if (due || (waits && now > request.valuableUntil())) {
      completion.fail(request); // a run that is late goes on: its end may still be in time
    }
  }

  private boolean isOutOfReach(TrackedRequest request) {
    return context.now() + deadlines.runTime(request) > deadlines.soughtUntil(request);
  }
}
