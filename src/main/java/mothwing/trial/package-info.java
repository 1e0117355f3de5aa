/**
 * Trials of several processes under injected faults: real processes behind a relay or all parts on
 * virtual time, with stand-ins for pools, gateways and services, and oracles that judge from
 * outside.
 *
 * <p>A tool: no other package uses it, and a server loads none of it.
 */
package mothwing.trial;
