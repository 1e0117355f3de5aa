package mothwing.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The settings of one installation, as its script gives them. Immutable; all paths are below the
 * script's folder.
 *
 * @param ajp the address that accepts AJP, or null for none
 * @param dns the DNS server, or null for none
 * @param fleet the fleet that this server joins, or null for none
 */
public record Site(InetSocketAddress ajp, Dns dns, Fleet fleet) {
  /**
   * The fleet that a server joins.
   *
   * @param name the fleet's name; messages of servers of another fleet are ignored
   * @param listen the address that other members reach, over UDP and TCP at one port, and the
   *     source of what this server sends
   * @param advertise the address that other members send to, which differs behind address
   *     translation
   * @param seeds members to contact first; may include its own address
   * @param zone its fault domain: servers that a single fault may take down together
   */
  public record Fleet(
      String name,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      List<InetSocketAddress> seeds,
      String zone) {
    /** The rule for the names of fleets, fault domains and members, in words. */
    public static final String NAME_FORMAT = "1 to 31 letters, digits, '.', '_' or '-'";

    /**
     * Whether a text may be the name of a fleet, fault domain or member. Names are short, as each
     * datagram holds some.
     *
     * @param text a name
     * @return true if so
     */
    public static boolean isValidName(String text) {
      return text.matches("[A-Za-z0-9._-]{1,31}");
    }
  }

  /**
   * The DNS server.
   *
   * @param listen its address, over UDP and TCP
   * @param state the folder of its durable state
   * @param limits its bounds
   * @param keys the keys that sign updates
   * @param zones the zones
   */
  public record Dns(
      InetSocketAddress listen, Path state, DnsLimits limits, List<Key> keys, List<Zone> zones) {}

  /**
   * The limits of the DNS server.
   *
   * @param udpBytes maximum bytes of a response over UDP (RFC 6891 section 6.2.5), 512 to 4,096
   * @param unprovenBytes the same for a client without a valid cookie (RFC 7873), to 4,096; 0 for
   *     the size of its query
   * @param connections maximum TCP connections
   * @param idleMs milliseconds after which an idle or slowly sending TCP connection is closed
   * @param pipelined maximum pending queries of one TCP connection (RFC 7766 section 6.2.1.1)
   * @param responsesPerSecond maximum responses a second to one prefix over UDP, 0 for no limit
   * @param prefixes maximum prefixes whose rate is tracked
   * @param cached maximum responses in the cache
   * @param records maximum records of one zone
   * @param journalBytes bytes of a journal past which it is compacted
   * @param repeats maximum accepted updates that are remembered to answer their retries
   * @param control whether the overload controller admits queries
   */
  public record DnsLimits(
      int udpBytes,
      int unprovenBytes,
      int connections,
      int idleMs,
      int pipelined,
      int responsesPerSecond,
      int prefixes,
      int cached,
      int records,
      long journalBytes,
      int repeats,
      boolean control) {
    /** The defaults. */
    public static final DnsLimits DEFAULTS =
        new DnsLimits(
            1232, 512, 512, 10_000, 32, 0, 16_384, 8192, 2_000_000, 64L << 20, 65_536, true);
  }

  /**
   * A key for TSIG (RFC 8945).
   *
   * @param name its name, a domain name
   * @param algorithm its algorithm, such as hmac-sha256
   * @param secretFile a file with its secret in base64
   */
  public record Key(String name, String algorithm, Path secretFile) {}

  /**
   * A zone.
   *
   * @param name its origin
   * @param file its zone file
   * @param rights the rights to update it
   */
  public record Zone(String name, Path file, List<Right> rights) {}

  /**
   * A right to update records, granted to a key.
   *
   * @param key the key's name
   * @param names a name, or * and a suffix for all names below it
   * @param types the types of records, upper case
   */
  public record Right(String key, String names, Set<String> types) {}
}
