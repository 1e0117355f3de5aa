package mothwing.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * Our own settings, as the script of an installation gives them; all paths are below the script's
 * folder.
 *
 * @param ajp where AJP is spoken, or null for nowhere
 * @param dns how DNS is served, or null for not at all
 * @param fleet which servers are one fleet, or null where each stands for itself
 */
public record Site(InetSocketAddress ajp, Dns dns, Fleet fleet) {
  /**
   * The fleet that a shop server belongs to.
   *
   * @param name the fleet's name: servers of another name are not listened to
   * @param listen where others reach this server, over UDP and TCP at one port, and what it sends
   *     comes from
   * @param advertise where others are to write to: the same, but where something stands between
   * @param seeds where to ask who is there; its own address among them does no harm
   * @param zone where it stands: what a single fault may take away at once
   */
  public record Fleet(
      String name,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      List<InetSocketAddress> seeds,
      String zone) {
    /** What a fleet, a zone or a member may be called, in words. */
    public static final String NAMED = "1 to 31 letters, digits, '.', '_' or '-'";

    /**
     * Whether a fleet, a zone or a member may be called so: names travel in each datagram, so they
     * are short.
     *
     * @param text a name
     * @return true if so
     */
    public static boolean mayBeCalled(String text) {
      return text.matches("[A-Za-z0-9._-]{1,31}");
    }
  }

  /**
   * How DNS is served.
   *
   * @param listen where, over UDP and TCP
   * @param state the folder of what must survive a restart
   * @param limits its bounds
   * @param keys the keys that sign updates
   * @param zones the zones
   */
  public record Dns(
      InetSocketAddress listen, Path state, DnsLimits limits, List<Key> keys, List<Zone> zones) {}

  /**
   * The bounds of the DNS front.
   *
   * @param udpBytes most bytes of an answer over UDP (RFC 6891 section 6.2.5), 512 to 4,096
   * @param unprovenBytes the same for whoever shows no good cookie (RFC 7873), to 4,096; 0 for no
   *     more than it sent
   * @param connections most TCP connections
   * @param idleMs milliseconds after which an idle or dripping TCP connection is closed
   * @param pipelined most queries open on one TCP connection (RFC 7766 section 6.2.1.1)
   * @param responsesPerSecond most answers a second to one prefix over UDP, 0 for no such limit
   * @param prefixes most prefixes that are watched
   * @param cached most answers in the cache
   * @param records most records of one zone
   * @param journalBytes bytes of a journal past which it is compacted
   * @param repeats most accepted updates that are remembered for their repeats
   * @param control whether the overload controller decides
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
    /** What holds where the script says nothing. */
    public static final DnsLimits USUAL =
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
   * @param rights who may update what
   */
  public record Zone(String name, Path file, List<Right> rights) {}

  /**
   * What the holder of a key may update.
   *
   * @param key the key's name
   * @param names a name, or * and a suffix for all names below it
   * @param types the types of records, upper case
   */
  public record Right(String key, String names, Set<String> types) {}
}
