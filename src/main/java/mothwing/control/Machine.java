package mothwing.control;

import java.util.List;

/**
 * The machine and what it can do.
 *
 * @param cores number of cores
 * @param memoryKb kilobytes in all
 * @param runMemoryFactor memory of a running request as a multiple of that of a held one
 * @param keyMemoryKb kilobytes of a remembered key
 * @param coldStart whether it has just started
 * @param gaugeNames names of the gauges that come with timers, in order
 * @param stopMode what can be done to running work
 */
public record Machine(
    int cores,
    double memoryKb,
    double runMemoryFactor,
    double keyMemoryKb,
    boolean coldStart,
    List<String> gaugeNames,
    StopMode stopMode) {}
