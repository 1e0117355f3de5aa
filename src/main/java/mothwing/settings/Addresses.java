package mothwing.settings;

import java.net.InetSocketAddress;

/** Addresses as operators write them. */
public final class Addresses {
  private Addresses() {}

  /**
   * An address as operators write it.
   *
   * @param address an address that is resolved
   * @return host and port
   */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Reads an address, without asking any name service.
   *
   * @param text host and port
   * @param name the field's name, for complaints
   * @return the address
   * @throws BadInput where it is none
   */
  public static InetSocketAddress read(String text, String name) throws InvalidInputException {
    int colon = text.lastIndexOf(':');
    try {
      String host = text.substring(0, Math.max(0, colon)).replace("[", "").replace("]", "");
      if (!host.isEmpty() && host.matches("[0-9a-fA-F.:]+")) {
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IllegalArgumentException notOne) {
      // falls through to the complaint
    }
    throw new InvalidInputException("field " + name + ": not an address with a port");
  }
}
