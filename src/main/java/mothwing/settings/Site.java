package mothwing.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The settings of one installation, read from its script. Immutable. All paths are inside the
 * directory of the script.
 *
 * @param ajp the address that accepts AJP, or null if AJP is off
 * @param dns the DNS server, or null if it is off
 * @param fleet the fleet that this server joins, or null if it joins none
 */
public record Site(InetSocketAddress ajp, Dns dns, Fleet fleet) {
  /**
   * The fleet that a server joins.
   *
   * @param name the fleet's name; messages of servers of another fleet are ignored
   * @param listen the address that receives messages of other members, over UDP and TCP on one
   *     port, and the source address of messages to them
   * @param advertise the address that other members send to; it differs from {@code listen} behind
   *     network address translation
   * @param seeds the members to contact first; may include this server's own address
   * @param zone the fault domain: the servers that a single fault may take down together
   */
  public record Fleet(
      String name,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      List<InetSocketAddress> seeds,
      String zone) {
    /** The format of the names of fleets, fault domains and members, for error messages. */
    public static final String NAME_FORMAT = "1 to 31 letters, digits, '.', '_' or '-'";

    /**
     * Returns whether a text is a valid name of a fleet, fault domain or member. Names are short
     * because each datagram carries several of them.
     *
     * @param text a name
     * @return whether the name is valid
     */
    public static boolean isValidName(String text) {
      return text.matches("[A-Za-z0-9._-]{1,31}");
    }
  }

  /**
   * The DNS server.
   *
   * @param listen the address for UDP and TCP
   * @param state the directory of its durable state
   * @param limits the limits on responses, connections and memory
   * @param keys the keys that sign updates
   * @param zones the zones to serve
   */
  public record Dns(
      InetSocketAddress listen, Path state, DnsLimits limits, List<Key> keys, List<Zone> zones) {}

  /**
   * The limits of the DNS server.
   *
   * @param udpBytes maximum bytes of a response over UDP (RFC 6891 section 6.2.5), 512 to 4,096
   * @param unprovenBytes maximum bytes of a response over UDP to a client without a valid cookie
   *     (RFC 7873), up to 4,096; 0 limits it to the size of the query
   * @param connections maximum TCP connections
   * @param idleMs milliseconds after which an idle or slowly sending TCP connection is closed
   * @param pipelinedQueries maximum pending queries of one TCP connection (RFC 7766 section
   *     6.2.1.1)
   * @param responsesPerSecond maximum responses per second over UDP to one client prefix, 0 for no
   *     limit
   * @param prefixes maximum client prefixes whose rate is tracked
   * @param cachedResponses maximum responses in the cache
   * @param records maximum records of one zone
   * @param journalBytes length of a journal in bytes above which it is compacted
   * @param rememberedUpdates maximum accepted updates that are kept to answer their retries
   * @param isControlled whether the overload controller admits queries
   */
  public record DnsLimits(
      int udpBytes,
      int unprovenBytes,
      int connections,
      int idleMs,
      int pipelinedQueries,
      int responsesPerSecond,
      int prefixes,
      int cachedResponses,
      int records,
      long journalBytes,
      int rememberedUpdates,
      boolean isControlled) {
    /** The default limits. */
    public static final DnsLimits DEFAULTS =
        new DnsLimits(
            1232, 512, 512, 10_000, 32, 0, 16_384, 8192, 2_000_000, 64L << 20, 65_536, true);
  }

  /**
   * A key for TSIG (RFC 8945).
   *
   * @param name the name, a domain name
   * @param algorithm the algorithm, such as hmac-sha256
   * @param secretFile the file that holds the secret in base64
   */
  public record Key(String name, String algorithm, Path secretFile) {}

  /**
   * A zone.
   *
   * @param name the origin
   * @param file the zone file
   * @param rights the rights to update the zone
   */
  public record Zone(String name, Path file, List<Right> rights) {}

  /**
   * A right to update records, granted to a key.
   *
   * @param key the key's name
   * @param names a domain name, or {@code *.NAME} for all names below NAME
   * @param types the record types, in upper case
   */
  public record Right(String key, String names, Set<String> types) {}
}
