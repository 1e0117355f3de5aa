package mothwing.overload;

import mothwing.control.RequestClass;
import mothwing.control.Settings;

/**
 * Holds back requests while runs or dependency calls fail. A server whose runs fail looks fast and
 * idle, and calls to a failing dependency waste core time: only a few attempts are made.
 */
final class FaultAdmission {
  private final FaultBudget runs = new FaultBudget();
  private final FaultBudget calls = new FaultBudget();
  private double maxCallingWeight;

  /** Takes the classes of new settings. */
  void apply(Settings settings) {
    maxCallingWeight =
        settings.classes().stream()
            .filter(RequestClass::callsDependency)
            .mapToDouble(RequestClass::priorityWeight)
            .max()
            .orElse(0);
  }

  /** Counts the outcome of a run. */
  void recordRun(boolean success) {
    runs.record(success);
  }

  /** Counts the outcome of a dependency call. */
  void recordCall(boolean success) {
    calls.record(success);
  }

  /** Lets both budgets recover. */
  void forget(int cores, double seconds) {
    runs.forget(cores, seconds);
    calls.forget(cores, seconds);
  }

  /** Whether the runs of this server fail. */
  boolean runsFail() {
    return runs.isExhausted();
  }

  /** Whether a request is held back; calls are left to the classes of the highest weight. */
  boolean holdsBack(TrackedRequest request) {
    if (runs.isExhausted()) {
      return true;
    }
    if (!request.callsDependency()) {
      return false;
    }
    boolean hasMaxWeight = request.requestClass().priorityWeight() >= maxCallingWeight;
    return hasMaxWeight ? calls.isExhausted() : calls.isHalfSpent();
  }
}
