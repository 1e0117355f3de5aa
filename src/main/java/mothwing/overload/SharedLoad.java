package mothwing.overload;

import mothwing.control.ProcessLoad;
import mothwing.control.SharedCapacity;

/**
 * Tracks what other processes of this server take of the machine, and decides whether this process
 * may take more. The sum stays within the limit. While another process is constrained by it, the
 * process that takes more starts nothing, so that what it releases goes to the other one; a process
 * that is draining goes first.
 */
final class SharedLoad {
  private final SharedCapacity capacity;
  private ProcessLoad others = ProcessLoad.NONE;
  private boolean constrained;
  private boolean constrainedInLastSample;

  SharedLoad(SharedCapacity capacity) {
    this.capacity = capacity;
  }

  /** Publishes what this process takes, and reads what the others take. */
  void exchange(double memoryKb, int running, int runningLimit, int outstandingCalls) {
    boolean isConstrained = constrained || constrainedInLastSample;
    others =
        capacity.exchange(
            new ProcessLoad(
                memoryKb, running, runningLimit, outstandingCalls, isConstrained, false));
  }

  /** Returns whether another process decides on requests too. */
  boolean isShared() {
    return others.runningLimit() > 0;
  }

  /** Returns what the other processes take. */
  ProcessLoad others() {
    return others;
  }

  /** Returns whether the sum of all processes stays within a limit, given what this one takes. */
  boolean isWithin(double limit, double own, double othersTake) {
    boolean within = own + othersTake <= limit;
    constrained |= !within;
    return within;
  }

  /**
   * Returns whether this process has to leave capacity to a constrained one: one that takes less,
   * or one that ends soon.
   */
  boolean mustYield(double own, double othersTake) {
    return others.constrained() && (others.draining() || own > othersTake);
  }

  /** Ends a sample period: constraints of the one before it no longer count. */
  void endSample() {
    constrainedInLastSample = constrained;
    constrained = false;
  }
}
