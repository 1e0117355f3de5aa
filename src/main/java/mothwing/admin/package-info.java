/**
 * The admin interface for operators: text commands, one per connection, executed on the event loop
 * of the server. An unknown command changes nothing and is answered with {@code NO} and the reason.
 */
package mothwing.admin;
