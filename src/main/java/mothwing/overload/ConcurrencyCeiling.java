package mothwing.overload;

import mothwing.control.ServerLimits;

/**
 * The number of running requests that the machine survives, which grows during slow start, and the
 * average number that runs.
 */
final class ConcurrencyCeiling {
  /** Share of the survivable concurrency that is used. */
  private static final double USED_RATIO = 0.7;

  private final ControllerContext context;
  private double averageRunning;

  ConcurrencyCeiling(ControllerContext context) {
    this.context = context;
  }

  /**
   * Lets time pass.
   *
   * @param spanMicros wall time in microseconds
   * @param running requests that ran in it
   */
  void advance(double spanMicros, int running) {
    double window = Math.max(1, context.settings().limits().concurrencyWindow());
    averageRunning += (running - averageRunning) * (1 - Math.exp(-spanMicros / window));
  }

  /** The concurrency that the machine survives now, in requests. */
  double survivable() {
    double perCore = context.settings().limits().concurrencyPerCore();
    return (1 + (perCore - 1) * speed()) * context.cores();
  }

  /** The concurrency up to which work is started, in requests. */
  double ceiling() {
    return survivable() * USED_RATIO;
  }

  /** Whether more ran of late than the ceiling allows. */
  boolean isExceeded() {
    return averageRunning > ceiling();
  }

  /** The share of full speed that the machine has reached. */
  private double speed() {
    ServerLimits limits = context.settings().limits();
    if (!context.settings().machine().coldStart() || limits.warmUpDuration() <= 0) {
      return 1;
    }
    double age = (double) (context.now() - context.startedAt()) / limits.warmUpDuration();
    return Math.min(1, limits.coldSpeedRatio() + (1 - limits.coldSpeedRatio()) * age);
  }
}
