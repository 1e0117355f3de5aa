/**
 * The FastCGI front: decodes the records of gateways into requests for the broker and encodes its
 * answers. Runs on the event loop of its connections. Every request that was read completely gets
 * one answer; bounds on open requests, parameters and body hold before anything is buffered.
 */
package mothwing.fastcgi;
