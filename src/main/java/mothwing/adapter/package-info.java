/**
 * The simulator's side of the controller: reads batches of events, one JSON line each, and answers
 * each with one JSON line of actions.
 *
 * <p>{@link mothwing.adapter.SimulatorProtocol} holds the words of the simulator's wire; the
 * decoder and the writer of this package map them to the controller's terms. One thread does all.
 * Invariant: actions are written in the order in which the controller takes them, grouped by
 * instance in the order in which the batch first names the instances.
 */
package mothwing.adapter;
