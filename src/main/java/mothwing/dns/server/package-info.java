/**
 * The DNS server: the wire over UDP and TCP, the engine that answers queries and signed updates
 * under the same overload controller as requests, and the keeper of each zone's journal.
 *
 * <p>One event loop owns all state; forced writes run on one helper thread and are acknowledged
 * only when they are back.
 */
package mothwing.dns.server;
