package mothwing.control;

import java.util.List;

/**
 * The machine and what it can do.
 *
 * @param cores number of cores
 * @param memory kilobytes in all
 * @param runFactor memory of a running request as a multiple of that of a held one
 * @param entryMemory kilobytes of a remembered key
 * @param cold whether it has just started
 * @param gauges names of the gauges that come with timers, in order
 * @param halting what can be done to running work
 */
public record Machine(
    int cores,
    double memory,
    double runFactor,
    double entryMemory,
    boolean cold,
    List<String> gauges,
    StopMode halting) {}
