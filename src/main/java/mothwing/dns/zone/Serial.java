package mothwing.dns.zone;

/** Arithmetic of serial numbers (RFC 1982): 32 bits, which wrap. */
public final class Serial {
  private Serial() {}

  /**
   * Whether one serial is greater than another; two that are 2^31 apart are not, either way.
   *
   * @param one the one
   * @param other the other
   * @return true if so
   */
  public static boolean greater(int one, int other) {
    return one != other && one - other > 0;
  }

  /**
   * The next serial; 0 is passed over, as some secondaries take it for none.
   *
   * @param serial a serial
   * @return the one after it
   */
  public static int next(int serial) {
    return serial + 1 == 0 ? 1 : serial + 1;
  }

  /**
   * The greater of two; of two that cannot be compared the first.
   *
   * @param one the one
   * @param other the other
   * @return the greater
   */
  public static int later(int one, int other) {
    return greater(/* one= */ other, /* other= */ one) ? other : one;
  }
}
