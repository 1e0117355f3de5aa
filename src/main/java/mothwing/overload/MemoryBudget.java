package mothwing.overload;

import mothwing.control.Machine;

/** Tracks the memory of requests and idempotency keys, in kilobytes, and bounds its planned use. */
final class MemoryBudget {
  /** Share of the memory that may be planned; the rest holds one batch of reads. */
  private static final double PLANNED_RATIO = 0.9;

  private double usedKb;
  private double plannedKb;
  private double keyKb;
  private double runMemoryFactor;

  /** Applies the machine of new settings. */
  void apply(Machine machine) {
    plannedKb = machine.memoryKb() * PLANNED_RATIO;
    keyKb = machine.keyMemoryKb();
    runMemoryFactor = machine.runMemoryFactor();
  }

  /** Returns the memory of one idempotency key, in kilobytes. */
  double keyKb() {
    return keyKb;
  }

  /** Returns the memory that a run takes beyond that of the held request, in kilobytes. */
  double additionalRunKb(TrackedRequest request) {
    return request.request().memoryKb() * (runMemoryFactor - 1);
  }

  /** Counts memory as used, in kilobytes. */
  void reserve(double kilobytes) {
    usedKb += kilobytes;
  }

  /** Counts memory as free again, in kilobytes. */
  void release(double kilobytes) {
    usedKb -= kilobytes;
  }

  /** Returns the memory in use, in kilobytes. */
  double usedKb() {
    return usedKb;
  }

  /** Returns the memory up to which work is planned, in kilobytes. */
  double plannedKb() {
    return plannedKb;
  }
}
