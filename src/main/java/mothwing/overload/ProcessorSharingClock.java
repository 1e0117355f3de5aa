package mothwing.overload;

/**
 * Counts the core time of runs that share the cores evenly: it advances with the wall clock while
 * there are no more runs than cores, and slower in proportion where there are more. The core time
 * of a run is the advance of this clock while the run holds a share.
 */
final class ProcessorSharingClock {
  private double coreTime;
  private int running;

  /**
   * Lets time pass.
   *
   * @param spanMicros wall time in microseconds
   * @param cores the number of cores
   */
  void advance(double spanMicros, int cores) {
    coreTime += spanMicros * Math.min(1, (double) cores / Math.max(1, running));
  }

  /** The number of runs that share the cores. */
  int running() {
    return running;
  }

  /** The core time that a run has used, in microseconds. */
  double used(TrackedRequest request) {
    return request.coreTimeUsed(coreTime);
  }

  /** A run takes a share of the cores. */
  void enter(TrackedRequest request) {
    request.enterCore(coreTime);
    running++;
  }

  /** A run gives up its share of the cores, if it holds one. */
  void leave(TrackedRequest request) {
    if (request.is(TrackedRequest.State.RUNNING)) {
      request.settleCoreTime(coreTime);
      running--;
    }
  }
}
