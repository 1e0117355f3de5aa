package mothwing.overload;

import mothwing.overload.TrackedRequest.State;

/**
 * Answers every request before it is due, rejects held requests that can no longer be answered in
 * time, and fails requests that wait for a call or a replay once an answer no longer earns
 * anything.
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

  /** Checks the deadlines of all open requests. */
  void enforce() {
    for (TrackedRequest request : requests.snapshot()) {
      if (!request.isAnswered()) {
        enforce(request);
      }
    }
  }

  private void enforce(TrackedRequest request) {
    long now = context.now();
    boolean isDue = now + context.dueMargin() >= request.dueAt();
    boolean neverStarted = request.is(State.HELD) && !request.hasStarted();
    boolean isWaiting = request.is(State.AWAITING_CALL) || request.is(State.REPLAYING);
    // A run past its objective is failed only when due, as it may still end in time.
    if (neverStarted && (isDue || cannotFinishInTime(request))) {
      completion.reject(request);
    } else if (isDue || (isWaiting && now > request.valuableUntil())) {
      completion.fail(request);
    }
  }

  private boolean cannotFinishInTime(TrackedRequest request) {
    return context.now() + deadlines.runTime(request) > deadlines.latestUsefulAnswerAt(request);
  }
}
