package mothwing.adapter;

import mothwing.control.GaugeSample;
import mothwing.control.Request;
import mothwing.control.RunOutcome;

/** An event of a running instance, in the types of the controller. Times are microseconds. */
sealed interface InstanceEvent {
  /** A request was read. */
  record RequestRead(Request request) implements InstanceEvent {}

  /** The caller of a request has cancelled it. */
  record RequestCancelled(String requestId) implements InstanceEvent {}

  /** A run has reached a dependency call and waits for permission to make it. */
  record CallAwaited(String requestId) implements InstanceEvent {}

  /** A dependency call has ended. */
  record CallEnded(String requestId, RunOutcome outcome, long durationMicros)
      implements InstanceEvent {}

  /** A run has ended. */
  record RunEnded(String requestId, RunOutcome outcome, long durationMicros)
      implements InstanceEvent {}

  /** A timer has fired, with the gauges of that moment. */
  record TimerFired(String tag, GaugeSample sample) implements InstanceEvent {}

  /** A graceful shutdown was requested; the process is stopped at the given time. */
  record ShutdownRequested(long stopAt) implements InstanceEvent {}
}
