/**
 * Connects the controller to the simulator: reads batches of events, one JSON line each, and
 * answers each with one JSON line of actions.
 *
 * <p>{@link mothwing.adapter.SimulatorProtocol} holds the names of the simulator's protocol; the
 * decoder and the writer of this package convert between them and the types of the controller. A
 * single thread does all the work. Actions are written in the order in which the controller
 * requests them, grouped by instance in the order in which the batch first names the instances.
 */
package mothwing.adapter;
