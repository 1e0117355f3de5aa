/**
 * The admin interface for operators: text commands, one per connection, executed on the event loop
 * of the server. An unknown command changes nothing and is answered with an error.
 */
package mothwing.admin;
