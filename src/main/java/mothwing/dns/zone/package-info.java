/**
 * DNS zones, pure: a zone is an immutable trie of names; updates and reloads make a new one, and
 * change sets say what differs. No socket, file, thread or clock is used; any thread may read a
 * zone.
 */
package mothwing.dns.zone;
