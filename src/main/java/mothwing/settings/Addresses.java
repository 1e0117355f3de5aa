package mothwing.settings;

import java.net.InetSocketAddress;

/** Formats and parses socket addresses of the form host:port. */
public final class Addresses {
  private Addresses() {}

  /**
   * Formats an address as host:port.
   *
   * @param address a resolved address
   * @return the numeric host and the port
   */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Parses an address of the form host:port. The host must be numeric, so that no name service is
   * queried; it may be in brackets.
   *
   * @param text host and port
   * @param name the name of the field, for the error message
   * @return the address
   * @throws InvalidInputException if the text is malformed
   */
  public static InetSocketAddress parse(String text, String name) throws InvalidInputException {
    int colon = text.lastIndexOf(':');
    try {
      String host = text.substring(0, Math.max(0, colon)).replace("[", "").replace("]", "");
      if (!host.isEmpty() && host.matches("[0-9a-fA-F.:]+")) {
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IllegalArgumentException malformed) {
      // Reported below.
    }
    throw new InvalidInputException("field " + name + ": not an address with a port");
  }
}
