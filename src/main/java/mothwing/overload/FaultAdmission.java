package mothwing.overload;

import mothwing.control.RequestClass;
import mothwing.control.Settings;

/**
 * Rejects most requests while runs or dependency calls fail. A server whose runs fail looks fast
 * and idle, and calls to a failing dependency waste core time, so only a few attempts are made.
 */
final class FaultAdmission {
  private final FaultBudget runFaults = new FaultBudget();
  private final FaultBudget callFaults = new FaultBudget();
  private double maxCallingClassWeight;

  /** Applies new settings. */
  void apply(Settings settings) {
    maxCallingClassWeight =
        settings.classes().stream()
            .filter(RequestClass::callsDependency)
            .mapToDouble(RequestClass::priorityWeight)
            .max()
            .orElse(0);
  }

  /** Counts the outcome of a run. */
  void recordRun(boolean success) {
    runFaults.record(success);
  }

  /** Counts the outcome of a dependency call. */
  void recordCall(boolean success) {
    callFaults.record(success);
  }

  /** Reduces the faults in both budgets for the given number of seconds. */
  void recover(int cores, double seconds) {
    runFaults.recover(cores, seconds);
    callFaults.recover(cores, seconds);
  }

  /** Returns whether the runs of this server fail. */
  boolean areRunsFailing() {
    return runFaults.isExhausted();
  }

  /**
   * Returns whether a request is rejected; the last attempts at dependency calls are left to the
   * classes of the highest weight.
   */
  boolean shouldReject(TrackedRequest request) {
    if (runFaults.isExhausted()) {
      return true;
    }
    if (!request.callsDependency()) {
      return false;
    }
    boolean hasMaxWeight = request.requestClass().priorityWeight() >= maxCallingClassWeight;
    return hasMaxWeight ? callFaults.isExhausted() : callFaults.isHalfUsed();
  }
}
