package mothwing.dns.zone;

import java.nio.ByteBuffer;

/**
 * The fields of a SOA record that zones need (RFC 1035 section 3.3.13): they stand at its end, 20
 * bytes in all.
 */
final class Soa {
  private static final int FIXED = 20;
  private static final int MINIMUM = 16;

  private Soa() {}

  private static ByteBuffer fixed(byte[] data) {
    return ByteBuffer.wrap(data, data.length - FIXED, FIXED).slice();
  }

  static int serial(RRset soa) {
    return fixed(soa.data().get(0)).getInt(0);
  }

  /** Seconds for which it may be kept that something does not exist (RFC 2308 section 5). */
  static int negativeTtl(RRset soa) {
    return Math.max(0, Math.min(soa.ttl(), fixed(soa.data().get(0)).getInt(MINIMUM)));
  }

  static RRset withSerial(RRset soa, int serial) {
    byte[] data = soa.data().get(0);
    fixed(data).putInt(0, serial);
    return RRset.of(soa.type(), soa.ttl(), java.util.List.of(data));
  }
}
