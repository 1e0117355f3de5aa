package mothwing.testing;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Loopback addresses for tests. None is a port found free earlier, since another process may have
 * bound it in the meantime.
 */
public final class Loopback {
  /** Refuses connections: no process listens on port 1, and no system assigns it automatically. */
  public static final InetSocketAddress REFUSING =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private Loopback() {}

  /** Returns port 0, so that the system assigns a port; the bound listener's address states it. */
  public static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
