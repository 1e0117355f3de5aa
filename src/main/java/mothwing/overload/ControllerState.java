package mothwing.overload;

import mothwing.control.ControllerHost;

/**
 * Groups the state that the components deciding on requests share.
 *
 * @param context settings, clock and phase of the server
 * @param host carries out the actions
 * @param requests the open requests
 * @param memory the memory that they hold
 * @param clock the core time of their runs
 * @param costs the core time that they are expected to need
 * @param shared what other processes of this server take of the machine
 */
record ControllerState(
    ControllerContext context,
    ControllerHost host,
    RequestTable requests,
    MemoryBudget memory,
    ProcessorSharingClock clock,
    CostEstimator costs,
    SharedLoad shared) {}
