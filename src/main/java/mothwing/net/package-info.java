/**
 * TCP connections of a shop server: accepting and opening them, decoding with bounds and
 * back-pressure, timeouts, eviction, an orderly close, and a fair share of the event loop for each.
 * Everything runs on the one event loop of its connections unless a method says otherwise. A
 * connection is closed for one {@link mothwing.net.CloseReason}, and no close discards a complete
 * request that has arrived or an answer that is on its way.
 */
package mothwing.net;
