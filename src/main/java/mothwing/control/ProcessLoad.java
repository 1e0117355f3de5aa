package mothwing.control;

/**
 * What the runs and requests of one process, or of several together, take of the machine.
 *
 * @param memoryKb memory of requests and runs, in kilobytes
 * @param running number of running requests
 * @param runningLimit number of requests that may run on the machine by the limit in force; of
 *     several processes the highest
 * @param outstandingCalls number of dependency calls that the dependency works on
 * @param constrained whether work waits, or was rejected, because of what other processes take
 * @param draining whether one of several other processes ends soon, so that its work cannot wait;
 *     of the process that publishes its load the {@link SharedCapacity} knows it
 */
public record ProcessLoad(
    double memoryKb,
    int running,
    int runningLimit,
    int outstandingCalls,
    boolean constrained,
    boolean draining) {
  /** The load of no process. */
  public static final ProcessLoad NONE = new ProcessLoad(0, 0, 0, 0, false, false);
}
