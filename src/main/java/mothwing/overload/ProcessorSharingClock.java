package mothwing.overload;

/**
 * Measures the core time of runs that share the cores evenly. The clock advances with the wall
 * clock while there are no more runs than cores, and proportionally slower if there are more. The
 * core time of a run is the advance of this clock while the run holds a share. The runs of other
 * processes of this server share the cores too.
 */
final class ProcessorSharingClock {
  private final SharedLoad shared;
  private double coreTime;
  private int running;

  ProcessorSharingClock(SharedLoad shared) {
    this.shared = shared;
  }

  /**
   * Advances the clock.
   *
   * @param spanMicros elapsed wall time in microseconds
   * @param cores the number of cores
   */
  void advance(double spanMicros, int cores) {
    int sharing = running + shared.others().running();
    coreTime += spanMicros * Math.min(1, (double) cores / Math.max(1, sharing));
  }

  /** Returns the number of runs of this process that share the cores. */
  int running() {
    return running;
  }

  /** Returns the core time that a run has used, in microseconds. */
  double used(TrackedRequest request) {
    return request.coreTimeUsed(coreTime);
  }

  /** Gives a run a share of the cores. */
  void enter(TrackedRequest request) {
    request.enterCore(coreTime);
    running++;
  }

  /** Takes the share of the cores from a run, if it holds one. */
  void leave(TrackedRequest request) {
    if (request.is(TrackedRequest.State.RUNNING)) {
      request.settleCoreTime(coreTime);
      running--;
    }
  }
}
