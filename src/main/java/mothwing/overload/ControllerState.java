package mothwing.overload;

import mothwing.control.ControllerHost;

/**
 * What every part that decides on requests works with.
 *
 * @param context settings, time and phase of the server
 * @param host carries out the actions
 * @param requests the open requests
 * @param memory the memory that they hold
 * @param clock the core time of their runs
 * @param costs the core time that they are expected to need
 */
record ControllerState(
    ControllerContext context,
    ControllerHost host,
    RequestTable requests,
    MemoryBudget memory,
    ProcessorSharingClock clock,
    CostEstimator costs) {}
