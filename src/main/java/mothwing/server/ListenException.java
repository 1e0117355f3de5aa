package mothwing.server;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Thrown if an address cannot be bound. */
public final class ListenException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param address the address
   * @param cause why it cannot be bound
   */
  ListenException(InetSocketAddress address, Throwable cause) {
    super("cannot listen on " + address + ": " + cause.getMessage(), cause);
  }
}
