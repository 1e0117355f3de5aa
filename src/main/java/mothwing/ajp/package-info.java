/**
 * The AJP/1.3 front: decodes the packets of gateways into requests for the broker and encodes its
 * responses. Runs on the event loop of its connections. Each connection carries one request at a
 * time; a completely read request gets one response.
 */
package mothwing.ajp;
