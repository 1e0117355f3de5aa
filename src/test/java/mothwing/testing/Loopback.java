package mothwing.testing;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Addresses on loopback for tests. None is a port that was free a moment ago: another may have it
 * by now.
 */
public final class Loopback {
  /** Nobody listens there, and no system gives this port away by itself. */
  public static final InetSocketAddress REFUSING =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private Loopback() {}

  /** Any port: the listener's own address says which. */
  public static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
