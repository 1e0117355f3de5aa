package mothwing.overload;

import java.util.ArrayDeque;
import mothwing.control.Dependency;

/**
 * Limits the dependency calls of this server to its quota. Two token buckets of call time, one that
 * bounds bursts over the dependency's window and one that also bounds admission, give a slow
 * dependency fewer calls; abandoned calls count until the dependency has ended them. Even if every
 * call hangs, the calls in flight stay within the quota over the dependency's window.
 */
final class DependencyCallLimiter {
  /** Share of the quota that is used steadily: a dependency at its limit is already slow. */
  private static final double STEADY_RATIO = 0.4;

  /** Share of the quota over the dependency's window that a burst after an idle period may use. */
  private static final double BURST_RATIO = 0.5;

  /** Share of the burst below which no call starts, as its timeout would be too short. */
  private static final double MIN_BURST_LEFT_RATIO = 0.25;

  /** Capacity of the admission bucket, in seconds of steady call time. */
  private static final double ADMISSION_SECONDS = 1.5;

  /** Weight of one call in the average call duration, so that about three calls count. */
  private static final double CALL_WEIGHT = 0.3;

  /** Number of calls that stands for no quota; its square stands for their call time. */
  private static final double UNLIMITED_CALLS = 1e9;

  /** Part of the buckets that a process has which starts beside another one. */
  private static final double INITIAL_RATIO_BESIDE_OTHERS = 0.5;

  private final ControllerContext context;
  private final SharedLoad shared;
  private final ArrayDeque<Long> abandonedUntil = new ArrayDeque<>();
  private double maxCalls;
  private double maxCallTime;
  private double steadyCalls;
  private double callTimeLeft;
  private double admissionCallTime;
  private double averageCallDuration;
  private int inFlight;

  /** Creates a limiter with full buckets, or half full ones beside another process. */
  DependencyCallLimiter(ControllerContext context, SharedLoad shared) {
    this.context = context;
    this.shared = shared;
    apply(context.settings().dependency());
    double initialRatio = shared.isShared() ? INITIAL_RATIO_BESIDE_OTHERS : 1;
    callTimeLeft = maxCallTime * initialRatio;
    admissionCallTime = maxAdmissionCallTime() * initialRatio;
  }

  /** Applies the quota of new settings. */
  void apply(Dependency dependency) {
    double quota = dependency.concurrencyQuota();
    boolean hasQuota = quota > 0;
    maxCalls = hasQuota ? Math.ceil(Math.max(1, 2 * quota)) : UNLIMITED_CALLS;
    double windowCallTime =
        hasQuota ? quota * dependency.window() : UNLIMITED_CALLS * UNLIMITED_CALLS;
    maxCallTime = BURST_RATIO * windowCallTime;
    steadyCalls = hasQuota ? quota * STEADY_RATIO : UNLIMITED_CALLS;
  }

  /**
   * Refills the buckets for the given number of microseconds. Must be called before {@link
   * #expireAbandoned}, so that abandoned calls count for the whole time span.
   */
  void advance(double spanMicros) {
    double rate = steadyCalls - outstandingOfAll();
    callTimeLeft = Math.min(maxCallTime, callTimeLeft + rate * spanMicros);
    admissionCallTime = Math.min(maxAdmissionCallTime(), admissionCallTime + rate * spanMicros);
  }

  /** Removes abandoned calls that the dependency has ended by now. */
  void expireAbandoned() {
    while (!abandonedUntil.isEmpty() && abandonedUntil.peek() <= context.now()) {
      abandonedUntil.remove();
    }
  }

  private double maxAdmissionCallTime() {
    return steadyCalls * ADMISSION_SECONDS * ControllerContext.MICROS_PER_SECOND;
  }

  /**
   * Returns the number of calls of this process that the dependency works on: those in flight, and
   * those abandoned but not ended.
   */
  int outstanding() {
    return abandonedUntil.size() + inFlight;
  }

  private int outstandingOfAll() {
    return outstanding() + shared.others().outstandingCalls();
  }

  /** Returns the number of calls in flight. */
  int inFlight() {
    return inFlight;
  }

  /** Returns whether a call may start now. */
  boolean mayStart() {
    return outstandingOfAll() < maxCalls
        && callTimeLeft >= maxCallTime * MIN_BURST_LEFT_RATIO
        && admissionCallTime > 0;
  }

  /** Returns the longest duration of a call that starts now, in microseconds. */
  long maxCallDuration() {
    return (long) (callTimeLeft / maxCalls);
  }

  /** Counts a call that starts. */
  void recordStart() {
    inFlight++;
  }

  /** Counts a call that has ended and updates the average call duration. */
  void recordEnd(long startedAt) {
    inFlight--;
    averageCallDuration += (context.now() - startedAt - averageCallDuration) * CALL_WEIGHT;
  }

  /** Counts a call in flight as abandoned; the dependency may work on it for a while. */
  void recordAbandoned() {
    inFlight--;
    countAsOutstanding();
  }

  /**
   * Counts a call that has ended on this side as outstanding for as long as the dependency may work
   * on it.
   */
  void countAsOutstanding() {
    abandonedUntil.add(context.now() + context.settings().dependency().abandonedCallDuration());
  }

  /** Fades the average call duration while no call is in flight that would correct it. */
  void fade(double seconds) {
    averageCallDuration *=
        inFlight > 0 ? 1 : Math.max(0, 1 - seconds / SlowdownEstimator.AVERAGING_SECONDS);
  }

  /** Returns the average duration of a call, in microseconds. */
  double averageCallDuration() {
    return averageCallDuration;
  }

  /**
   * Returns the call time that can be admitted at once, in microseconds; negative if the admission
   * bucket is overdrawn.
   */
  double admissionCallTime() {
    return admissionCallTime;
  }

  /** Returns the number of calls in flight that the quota allows steadily. */
  double steadyCalls() {
    return steadyCalls;
  }
}
