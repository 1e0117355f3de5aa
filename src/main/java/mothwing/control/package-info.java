/**
 * The interface between a server and its overload controller: the settings, the events that the
 * server delivers ({@link mothwing.control.Controller}) and the actions that the controller
 * requests ({@link mothwing.control.ControllerHost}). Contains types only, no logic.
 *
 * <p>All times and durations are whole microseconds of one monotonic clock. Optional settings that
 * are absent are null, and optional times are 0.
 */
package mothwing.control;
