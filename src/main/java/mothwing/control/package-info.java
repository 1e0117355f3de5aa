/**
 * The contract between a server and its overload controller: settings, the events that the server
 * delivers ({@link mothwing.control.Controller}) and the actions that the controller asks for
 * ({@link mothwing.control.ControllerHost}). Types only, no logic.
 *
 * <p>All times and durations are whole microseconds of one monotonic clock. Optional settings that
 * were not given are null, and optional times are 0.
 */
package mothwing.control;
