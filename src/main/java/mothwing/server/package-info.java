/**
 * The server process: wires broker, fronts, pool, dependency and load reports on one event loop,
 * reads and reloads the configuration, and shuts down gracefully. The event loop owns all state; a
 * method that may be called from another thread says so. After a drain request, every request that
 * was read is answered before the process ends.
 */
package mothwing.server;
