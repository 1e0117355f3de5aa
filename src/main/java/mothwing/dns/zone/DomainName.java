package mothwing.dns.zone;

import java.util.Arrays;

/**
 * A domain name in wire form (RFC 1035 section 3.1), its letters in lower case (RFC 4343): equal
 * names have equal bytes. Names are ordered as RFC 4034 section 6.1 says, by labels from the right.
 */
public final class DomainName implements Comparable<DomainName> {
  /** Most bytes of a name, with the root's. */
  public static final int MOST_BYTES = 255;

  /** Most bytes of a label. */
  public static final int MOST_LABEL = 63;

  /** The root. */
  public static final DomainName ROOT = new DomainName(new byte[] {0});

  /** Text that is not a domain name; the message says why. */
  public static final class Bad extends Exception {
    private static final long serialVersionUID = 1L;

    Bad(String message) {
      super(message, null, false, false);
    }
  }

  private final byte[] wire;

  private DomainName(byte[] wire) {
    this.wire = wire;
  }

  /**
   * Makes a name of bytes without compression.
   *
   * @param bytes holds them
   * @param from where they begin; they end with the root's zero
   * @return the name, or null where the bytes are none
   */
  public static DomainName of(byte[] bytes, int from) {
    int at = from;
    while (at < bytes.length && bytes[at] > 0 && bytes[at] <= MOST_LABEL) {
      at += bytes[at] + 1;
    }
    if (at >= bytes.length || bytes[at] != 0 || at + 1 - from > MOST_BYTES) {
      return null;
    }
    byte[] wire = Arrays.copyOfRange(bytes, from, at + 1);
    lower(wire);
    return new DomainName(wire);
  }

  /** Puts letters into lower case. */
  static void lower(byte[] wire) {
    for (int i = 0; i < wire.length; i++) {
      if (wire[i] >= 'A' && wire[i] <= 'Z') {
        wire[i] = (byte) (wire[i] + ('a' - 'A')); // the bytes of lengths are below the letters
      }
    }
  }

  /**
   * Reads a name as zone files write it (RFC 1035 section 5.1).
   *
   * @param text the name, with escapes; without a last dot it is relative
   * @param origin what a relative name is completed with; also stands for {@code @}
   * @return the name
   * @throws Bad where it is none
   */
  public static DomainName parse(String text, DomainName origin) throws Bad {
    if (text.equals("@")) {
      return origin;
    } else if (text.equals(".")) {
      return ROOT;
    } else if (text.isEmpty()) {
      throw new Bad("the name is empty");
    }
    byte[] made = new byte[MOST_BYTES + 1];
    int label = 0;
    int at = 1;
    boolean absolute = false;
    for (int i = 0; i < text.length(); i++) {
      int c = text.charAt(i);
      if (c == '.') {
        closeLabel(made, label, at, text);
        label = at++;
        absolute = i + 1 == text.length();
      } else {
        if (c == '\\') {
          int[] escape = escape(text, i);
          c = escape[0];
          i = escape[1];
        } else if (c > 126 || c <= ' ') {
          throw new Bad("character " + c + " in name " + text + " must be written as \\DDD");
        }
        if (at >= MOST_BYTES) {
          throw new Bad("name " + text + " has more than " + MOST_BYTES + " bytes");
        }
        made[at++] = (byte) c;
      }
      if (at > MOST_BYTES) {
        throw new Bad("name " + text + " has more than " + MOST_BYTES + " bytes");
      }
    }
    if (!absolute) {
      closeLabel(made, label, at, text);
    } else {
      at--; // the root's zero is that of the origin
    }
    DomainName rest = absolute ? ROOT : origin;
    if (at + rest.wire.length > MOST_BYTES) {
      throw new Bad("name " + text + " has more than " + MOST_BYTES + " bytes");
    }
    byte[] wire = Arrays.copyOf(made, at + rest.wire.length);
    System.arraycopy(rest.wire, 0, wire, at, rest.wire.length);
    lower(wire);
    return new DomainName(wire);
  }

  private static void closeLabel(byte[] made, int label, int at, String text) throws Bad {
    int length = at - label - 1;
    if (length == 0) {
      throw new Bad("name " + text + " has an empty label");
    } else if (length > MOST_LABEL) {
      throw new Bad("a label of " + text + " has " + length + " bytes, more than " + MOST_LABEL);
    }
    made[label] = (byte) length;
  }

  /** Reads the escape at an index: the byte, and the index of its last character. */
  private static int[] escape(String text, int at) throws Bad {
    if (at + 1 >= text.length()) {
      throw new Bad("name " + text + " ends with a backslash");
    }
    char next = text.charAt(at + 1);
    if (!Character.isDigit(next)) {
      return new int[] {next, at + 1};
    }
    String digits = text.substring(at + 1, Math.min(text.length(), at + 4));
    if (!digits.matches("[0-9]{3}") || Integer.parseInt(digits) > 255) {
      throw new Bad("escape \\" + digits + " in name " + text + " is not \\DDD up to 255");
    }
    return new int[] {Integer.parseInt(digits), at + 3};
  }

  /**
   * The bytes.
   *
   * @return the wire form; not to be changed
   */
  public byte[] wire() {
    return wire;
  }

  /**
   * How many labels it has, without the root's.
   *
   * @return their number, 0 for the root
   */
  public int labels() {
    int count = 0;
    for (int at = 0; wire[at] != 0; at += wire[at] + 1) {
      count++;
    }
    return count;
  }

  /** Where each label begins, from the left. */
  int[] offsets() {
    int[] all = new int[labels()];
    int at = 0;
    for (int i = 0; i < all.length; i++) {
      all[i] = at;
      at += wire[at] + 1;
    }
    return all;
  }

  /**
   * Whether this is another name or lies below it.
   *
   * @param other the other name
   * @return true if so
   */
  public boolean within(DomainName other) {
    int at = wire.length - other.wire.length;
    return at >= 0
        && startsLabel(at)
        && Arrays.equals(wire, at, wire.length, other.wire, 0, other.wire.length);
  }

  private boolean startsLabel(int wanted) {
    int at = 0;
    while (at < wanted) {
      at += wire[at] + 1;
    }
    return at == wanted;
  }

  /**
   * The name without its first label.
   *
   * @return the parent; the root's is itself
   */
  public DomainName parent() {
    return wire[0] == 0 ? this : new DomainName(Arrays.copyOfRange(wire, wire[0] + 1, wire.length));
  }

  /**
   * The name with one more label in front.
   *
   * @param label its bytes, in lower case
   * @return the child, or null where it would be too long
   */
  public DomainName child(byte[] label) {
    if (wire.length + label.length + 1 > MOST_BYTES) {
      return null;
    }
    byte[] longer = new byte[wire.length + label.length + 1];
    longer[0] = (byte) label.length;
    System.arraycopy(label, 0, longer, 1, label.length);
    System.arraycopy(wire, 0, longer, label.length + 1, wire.length);
    return new DomainName(longer);
  }

  /**
   * This name with the end that it shares with one name replaced by another (RFC 6672 section 2.2).
   *
   * @param from the end, of which this is below
   * @param to what takes its place
   * @return the name, or null where it would be too long
   */
  DomainName moved(DomainName from, DomainName to) {
    int kept = wire.length - from.wire.length;
    if (kept + to.wire.length > MOST_BYTES) {
      return null;
    }
    byte[] made = Arrays.copyOf(wire, kept + to.wire.length);
    System.arraycopy(to.wire, 0, made, kept, to.wire.length);
    return new DomainName(made);
  }

  @Override
  public int compareTo(DomainName other) {
    int[] mine = offsets();
    int[] theirs = other.offsets();
    for (int i = 1; i <= Math.min(mine.length, theirs.length); i++) {
      int a = mine[mine.length - i];
      int b = theirs[theirs.length - i];
      int order =
          Arrays.compareUnsigned(
              wire, a + 1, a + 1 + wire[a], other.wire, b + 1, b + 1 + other.wire[b]);
      if (order != 0) {
        return order;
      }
    }
    return Integer.compare(mine.length, theirs.length);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof DomainName name && Arrays.equals(wire, name.wire);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(wire);
  }

  /** The name as zone files write it, with its last dot. */
  @Override
  public String toString() {
    if (wire[0] == 0) {
      return ".";
    }
    StringBuilder text = new StringBuilder();
    for (int at = 0; wire[at] != 0; at += wire[at] + 1) {
      for (int i = at + 1; i <= at + wire[at]; i++) {
        int c = wire[i] & 0xff;
        if (c <= ' ' || c > 126) {
          text.append(String.format("\\%03d", c));
        } else {
          text.append(".\\\"();@$".indexOf(c) >= 0 ? "\\" : "").append((char) c);
        }
      }
      text.append('.');
    }
    return text.toString();
  }
}
