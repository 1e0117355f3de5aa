/**
 * The operators' connection: text commands, one a connection, executed on the event loop of the
 * server. A command that is not understood changes nothing and is answered with the reason.
 */
package mothwing.admin;
