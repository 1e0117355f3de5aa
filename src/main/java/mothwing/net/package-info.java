/**
 * TCP connections of a server: accepting and opening them, decoding with bounds and back-pressure,
 * timeouts, eviction, orderly close, and fair sharing of the event loop. Everything runs on the one
 * event loop of its connections unless a method says otherwise. Each connection is closed for one
 * {@link mothwing.net.CloseReason}, and an orderly close discards neither a complete request that
 * has arrived nor an answer in flight.
 */
package mothwing.net;
