package mothwing.overload;

import mothwing.control.ServerLimits;

/**
 * Computes how many running requests the machine tolerates, which grows during slow start, and
 * whether the average number of running requests of all processes exceeds a share of it.
 */
final class ConcurrencyCeiling {
  /** Share of the tolerated concurrency up to which runs are started. */
  private static final double CEILING_RATIO = 0.7;

  private final ControllerContext context;
  private final SharedLoad shared;
  private double averageRunning;

  ConcurrencyCeiling(ControllerContext context, SharedLoad shared) {
    this.context = context;
    this.shared = shared;
  }

  /**
   * Updates the average concurrency.
   *
   * @param spanMicros elapsed wall time in microseconds
   * @param running number of requests that this process ran during that time
   */
  void advance(double spanMicros, int running) {
    double window = Math.max(1, context.settings().limits().concurrencyWindow());
    averageRunning +=
        (running + shared.others().running() - averageRunning)
            * (1 - Math.exp(-spanMicros / window));
  }

  /** Returns the number of running requests that the machine tolerates now. */
  double toleratedConcurrency() {
    double perCore = context.settings().limits().concurrencyPerCore();
    return (1 + (perCore - 1) * speed()) * context.cores();
  }

  /** Returns the number of running requests up to which runs are started. */
  double ceiling() {
    return toleratedConcurrency() * CEILING_RATIO;
  }

  /** Returns whether the average concurrency exceeds the ceiling. */
  boolean isExceeded() {
    return averageRunning > ceiling();
  }

  /** Returns the share of its full speed that the machine has reached. */
  private double speed() {
    ServerLimits limits = context.settings().limits();
    if (!context.settings().machine().coldStart() || limits.warmUpDuration() <= 0) {
      return 1;
    }
    double progress = (double) (context.now() - context.startedAt()) / limits.warmUpDuration();
    return Math.min(1, limits.coldSpeedRatio() + (1 - limits.coldSpeedRatio()) * progress);
  }
}
