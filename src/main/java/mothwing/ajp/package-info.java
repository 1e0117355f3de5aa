/**
 * The AJP/1.3 front: decodes the packets of gateways into requests for the broker and encodes its
 * answers. Runs on the event loop of its connections. Each connection carries one request at a
 * time; a request that was read completely gets one answer.
 */
package mothwing.ajp;
