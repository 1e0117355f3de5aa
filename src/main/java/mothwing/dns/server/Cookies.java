package mothwing.dns.server;

import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * DNS cookies (RFC 7873, in the form of RFC 9018 section 4): whoever sends back what this server
 * gave to its address does receive what is sent there, so that its answers are no weapon against
 * others. The hash is HMAC-SHA-256 cut to eight bytes, as only this server checks it; its secret is
 * new with each start.
 */
final class Cookies {
  /** Bytes of a client's cookie. */
  static final int CLIENT = 8;

  /** Bytes of both cookies together. */
  static final int BOTH = 24;

  private static final int HASH_AT = 16;
  private static final long OLDEST = 3600; // seconds, RFC 9018 section 4.3
  private static final long AHEAD = 300;

  private final Mac mac;

  Cookies() {
    byte[] secret = new byte[32];
    new SecureRandom().nextBytes(secret);
    try {
      mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(secret, "HmacSHA256"));
    } catch (GeneralSecurityException never) {
      throw new IllegalStateException(never); // every Java platform has it
    }
  }

  private byte[] made(byte[] client, InetAddress from, int second) {
    ByteBuffer both =
        ByteBuffer.allocate(BOTH)
            .put(client, 0, CLIENT)
            .put((byte) 1)
            .put(new byte[3])
            .putInt(second);
    mac.update(both.array(), 0, HASH_AT);
    both.put(mac.doFinal(from.getAddress()), 0, BOTH - HASH_AT);
    return both.array();
  }

  /** Gives a query its cookie for the answer, and notes whether it brought a good one. */
  void check(Query query, InetAddress from, long second) {
    byte[] cookie = query.cookie();
    if (cookie == null) {
      return;
    }
    boolean proven = false;
    if (cookie.length == BOTH) {
      int made = ByteBuffer.wrap(cookie).getInt(HASH_AT - 4);
      int age = (int) second - made;
      proven =
          age <= OLDEST
              && age >= -AHEAD
              && java.security.MessageDigest.isEqual(cookie, made(cookie, from, made));
    }
    query.cookied(made(Arrays.copyOf(cookie, CLIENT), from, (int) second), proven);
  }
}
