/**
 * The network transport of the membership protocol: the encoding of its messages, and their
 * exchange with other servers over UDP and TCP.
 */
package mothwing.peer;
