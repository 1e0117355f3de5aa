package mothwing.control;

import java.util.List;

/**
 * The machine that the server runs on.
 *
 * @param cores number of cores
 * @param memoryKb memory for requests and idempotency keys, in kilobytes
 * @param runMemoryFactor memory of a running request as a multiple of that of a held one, at least
 *     1
 * @param keyMemoryKb memory of a remembered idempotency key, in kilobytes
 * @param coldStart whether the server starts cold and needs a slow start
 * @param gaugeNames names of the gauges that are delivered with timers, in their order
 * @param stopMode how a run can be stopped
 */
public record Machine(
    int cores,
    double memoryKb,
    double runMemoryFactor,
    double keyMemoryKb,
    boolean coldStart,
    List<String> gaugeNames,
    StopMode stopMode) {}
