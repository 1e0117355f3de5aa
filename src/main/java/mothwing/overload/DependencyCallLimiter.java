package mothwing.overload;

import java.util.ArrayDeque;
import mothwing.control.Dependency;

/**
 * Keeps the calls of this server within its quota of the dependency. A bucket of call time lets a
 * slow dependency get fewer calls; abandoned calls count until the dependency has ended them. Even
 * when every call hangs, the calls in flight stay within the quota over the dependency's window.
 */
final class DependencyCallLimiter {
  /** Share of the quota that is used steadily: a dependency at its bound is slow already. */
  private static final double STEADY_RATIO = 0.4;

  /** Share of the quota over the dependency's window that can be used at once after a calm. */
  private static final double BURST_RATIO = 0.5;

  /** Share of the burst below which no call starts: its timeout would come too soon. */
  private static final double MIN_START_RATIO = 0.25;

  /** Seconds of steady call time that are kept for admission. */
  private static final double ADMISSION_SECONDS = 1.5;

  /** Weight of one call in the learned call time: some three calls count. */
  private static final double CALL_WEIGHT = 0.3;

  /** Calls where no quota is stated; its square stands for their time. */
  private static final double UNLIMITED_CALLS = 1e9;

  private final ControllerContext context;
  private final ArrayDeque<Long> abandonedUntil = new ArrayDeque<>();
  private double maxCalls;
  private double maxCallTime;
  private double steadyCalls;
  private double callTimeLeft;
  private double admissionCallTime;
  private double expectedCallTime;
  private int inFlight;

  /** Makes one with full buckets. */
  DependencyCallLimiter(ControllerContext context) {
    this.context = context;
    apply(context.settings().dependency());
    callTimeLeft = maxCallTime;
    admissionCallTime = maxAdmissionCallTime();
  }

  /** Takes the quota of new settings. */
  void apply(Dependency dependency) {
    double quota = dependency.concurrencyQuota();
    boolean limited = quota > 0;
    maxCalls = limited ? Math.ceil(Math.max(1, 2 * quota)) : UNLIMITED_CALLS;
    double window = limited ? quota * dependency.window() : UNLIMITED_CALLS * UNLIMITED_CALLS;
    maxCallTime = BURST_RATIO * window;
    steadyCalls = limited ? quota * STEADY_RATIO : UNLIMITED_CALLS;
  }

  /** Lets time pass, in microseconds; comes before {@link #expireAbandoned}. */
  void advance(double spanMicros) {
    double rate = steadyCalls - outstanding();
    callTimeLeft = Math.min(maxCallTime, callTimeLeft + rate * spanMicros);
    admissionCallTime = Math.min(maxAdmissionCallTime(), admissionCallTime + rate * spanMicros);
  }

  /** Drops abandoned calls that the dependency has ended by now. */
  void expireAbandoned() {
    while (!abandonedUntil.isEmpty() && abandonedUntil.peek() <= context.now()) {
      abandonedUntil.remove();
    }
  }

  private double maxAdmissionCallTime() {
    return steadyCalls * ADMISSION_SECONDS * ControllerContext.SECOND_MICROS;
  }

  /** Calls that the dependency has in hand: in flight, or abandoned and not ended. */
  int outstanding() {
    return abandonedUntil.size() + inFlight;
  }

  /** Calls in flight. */
  int inFlight() {
    return inFlight;
  }

  /** Whether a call may start now. */
  boolean mayStart() {
    return outstanding() < maxCalls
        && callTimeLeft >= maxCallTime * MIN_START_RATIO
        && admissionCallTime > 0;
  }

  /** The longest duration of a call that starts now, in microseconds. */
  long longestCall() {
    return (long) (callTimeLeft / maxCalls);
  }

  /** A call starts. */
  void started() {
    inFlight++;
  }

  /** A call has ended; its duration is learned. */
  void ended(long startedAt) {
    inFlight--;
    expectedCallTime += (context.now() - startedAt - expectedCallTime) * CALL_WEIGHT;
  }

  /** A call in flight is abandoned: the dependency goes on with it for a while. */
  void abandoned() {
    inFlight--;
    lingers();
  }

  /** A call that has ended here may still be in the dependency's hands. */
  void lingers() {
    abandonedUntil.add(context.now() + context.settings().dependency().abandonedCallDuration());
  }

  /** Lets the learned call time fade where no call is in flight that would correct it. */
  void fade(double seconds) {
    expectedCallTime *=
        inFlight > 0 ? 1 : Math.max(0, 1 - seconds / SlowdownEstimator.AVERAGING_SECONDS);
  }

  /** The learned duration of a call, in microseconds. */
  double expectedCallTime() {
    return expectedCallTime;
  }

  /** Call time that can be admitted at once, in microseconds; negative where it is overdrawn. */
  double admissionCallTime() {
    return admissionCallTime;
  }

  /** Calls in flight that the quota allows steadily. */
  double steadyCalls() {
    return steadyCalls;
  }
}
