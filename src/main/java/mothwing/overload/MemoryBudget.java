package mothwing.overload;

import mothwing.control.Machine;

/**
 * Tracks the memory of requests and idempotency keys, in kilobytes, and bounds its planned use by
 * all processes of this server together.
 */
final class MemoryBudget {
  /** Share of the memory that may be planned; the rest holds one batch of reads. */
  private static final double PLANNED_RATIO = 0.9;

  private final SharedLoad shared;
  private double usedKb;
  private double plannedKb;
  private double keyKb;
  private double runMemoryFactor;

  MemoryBudget(SharedLoad shared) {
    this.shared = shared;
  }

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

  /** Returns the memory that this process uses, in kilobytes. */
  double usedKb() {
    return usedKb;
  }

  /** Returns the memory that all processes use, in kilobytes. */
  double usedByAllKb() {
    return usedKb + shared.others().memoryKb();
  }

  /** Returns whether more than the planned memory is used. */
  boolean isExceeded() {
    return usedByAllKb() > plannedKb;
  }

  /** Returns whether a key and runs may take memory beside what is used, in kilobytes. */
  boolean hasRoom(double newKeyKb, double runsKb) {
    return shared.isWithin(plannedKb, usedKb + newKeyKb + runsKb, shared.others().memoryKb());
  }
}
