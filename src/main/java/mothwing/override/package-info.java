/**
 * Temporary traffic overrides: a replicated table whose entries carry an age instead of an expiry
 * date and expire on every replica by its own clock, kept consistent by anti-entropy. The package
 * does no I/O.
 *
 * <p>Safety depends neither on synchronized clocks, nor on a consistent view of the members, nor on
 * exactly-once delivery of messages. No server uses the package yet.
 */
package mothwing.override;
