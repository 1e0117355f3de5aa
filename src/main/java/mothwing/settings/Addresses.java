package mothwing.settings;

import java.net.InetSocketAddress;

/** The textual form of addresses, host:port. */
public final class Addresses {
  private Addresses() {}

  /**
   * Formats an address.
   *
   * @param address a resolved address
   * @return host and port
   */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Parses an address, whose host must be numeric: no name service is queried.
   *
   * @param text host and port
   * @param name the field's name, for the error
   * @return the address
   * @throws InvalidInputException where it is malformed
   */
  public static InetSocketAddress parse(String text, String name) throws InvalidInputException {
    int colon = text.lastIndexOf(':');
    try {
      String host = text.substring(0, Math.max(0, colon)).replace("[", "").replace("]", "");
      if (!host.isEmpty() && host.matches("[0-9a-fA-F.:]+")) {
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IllegalArgumentException malformed) {
      // reported below
    }
    throw new InvalidInputException("field " + name + ": not an address with a port");
  }
}
