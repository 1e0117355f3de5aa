package mothwing.dns.server;

import java.net.InetAddress;

/**
 * Response rate limiting over UDP, by prefix of the address that asks (as described by P. Vixie and
 * V. Schryver, 2012): each prefix has a bucket of answers. Whoever has spent them gets every second
 * answer cut short, so that a real client comes over TCP, which cannot be forged, and a victim gets
 * no more than it was sent. A table of fixed size keeps the buckets; two prefixes that meet in one
 * place share it.
 */
final class RateLimit {
  /** What to do with an answer. */
  enum Verdict {
    SEND,
    CUT,
    DROP
  }

  private static final int V4_BITS = 24;
  private static final int V6_BITS = 56;
  private static final double SECOND = 1e6;

  private final double perSecond;
  private final float[] tokens;
  private final long[] touched;
  private long odd;

  /**
   * Makes one.
   *
   * @param perSecond answers a second, 0 for no limit
   * @param prefixes size of the table, rounded up to a power of two
   */
  RateLimit(int perSecond, int prefixes) {
    this.perSecond = perSecond;
    int size = perSecond == 0 ? 0 : Integer.highestOneBit(prefixes * 2 - 1);
    tokens = new float[size];
    touched = new long[size];
  }

  Verdict answer(InetAddress to, long now) {
    if (tokens.length == 0) {
      return Verdict.SEND;
    }
    byte[] address = to.getAddress();
    int bytes = (address.length == 4 ? V4_BITS : V6_BITS) / 8;
    int hash = address.length;
    for (int i = 0; i < bytes; i++) {
      hash = (hash ^ (address[i] & 0xff)) * 0x01000193;
    }
    int place = (hash ^ hash >>> 15) & tokens.length - 1;
    double gained = touched[place] == 0 ? perSecond : (now - touched[place]) * perSecond / SECOND;
    tokens[place] = (float) Math.min(perSecond, tokens[place] + gained);
    touched[place] = Math.max(1, now);
    if (tokens[place] >= 1) {
      tokens[place] -= 1;
      return Verdict.SEND;
    }
    return (odd++ & 1) == 0 ? Verdict.CUT : Verdict.DROP;
  }
}
