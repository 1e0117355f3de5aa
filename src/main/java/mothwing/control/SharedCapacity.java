package mothwing.control;

/**
 * The capacity of one machine that several processes of one server share, as during an upgrade. A
 * process publishes what it is about to take before it reads what the others take; if the sum
 * exceeds a limit it takes it back. Two processes that do so at the same time may both give up, and
 * never both succeed beyond the limit.
 */
@FunctionalInterface
public interface SharedCapacity {
  /** The capacity of a machine with a single process. */
  SharedCapacity UNSHARED = own -> ProcessLoad.NONE;

  /**
   * Publishes the load of this process.
   *
   * @param own the load of this process
   * @return the sum of the loads of all other processes that are alive
   */
  ProcessLoad exchange(ProcessLoad own);
}
