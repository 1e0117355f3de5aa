/**
 * The FastCGI front: decodes the records of gateways into requests for the broker and encodes its
 * responses. Runs on the event loop of its connections. Every completely read request gets one
 * response; the limits on open requests, parameters and body are enforced before buffering.
 */
package mothwing.fastcgi;
