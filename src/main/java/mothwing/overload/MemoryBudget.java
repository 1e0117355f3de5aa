package mothwing.overload;

import mothwing.control.Machine;

/** The memory of requests and idempotency keys, in kilobytes, and the bound on planned use. */
final class MemoryBudget {
  /** Share of the memory that is planned; the rest takes one batch of reads. */
  private static final double PLANNED_RATIO = 0.9;

  private double usedKb;
  private double plannedKb;
  private double keyKb;
  private double runMemoryFactor;

  /** Takes the machine of new settings. */
  void apply(Machine machine) {
    plannedKb = machine.memoryKb() * PLANNED_RATIO;
    keyKb = machine.keyMemoryKb();
    runMemoryFactor = machine.runMemoryFactor();
  }

  /** The memory of one idempotency key, in kilobytes. */
  double keyKb() {
    return keyKb;
  }

  /** The memory that the run of a request takes beyond that of the held request, in kilobytes. */
  double additionalRunKb(TrackedRequest request) {
    return request.request().memoryKb() * (runMemoryFactor - 1);
  }

  /** Counts memory as used. */
  void reserve(double kilobytes) {
    usedKb += kilobytes;
  }

  /** Counts memory as free again. */
  void release(double kilobytes) {
    usedKb -= kilobytes;
  }

  /** The memory in use, in kilobytes. */
  double usedKb() {
    return usedKb;
  }

  /** The memory up to which work is planned, in kilobytes. */
  double plannedKb() {
    return plannedKb;
  }
}
