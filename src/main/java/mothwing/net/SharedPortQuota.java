package mothwing.net;

/**
 * How many connections one of two processes at the same address may have, so that both together
 * stay under the bound of one. Neither trusts the other's word: each looks at the kernel's list of
 * sockets. Who has more than half may have them only while a fresh look says that nobody else
 * listens; who comes to an address that another holds takes nobody until the other is down to half.
 * Times are microseconds of the monotonic clock; a look may be answered late.
 */
final class SharedPortQuota {
  /** For so long a look is taken for the truth. */
  static final long FRESH = 500_000;

  private static final long PERIOD = 100_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final int most;
  private final long beganAt;
  private long lookedAt = NEVER;
  private boolean looked;
  private boolean listens;
  private boolean admitted;
  private int others;

  /**
   * Makes one that knows nothing yet.
   *
   * @param most most connections of one process
   * @param now when it began to listen
   */
  SharedPortQuota(int most, long now) {
    this.most = most;
    beganAt = now;
  }

  /** Whether the kernel's list is to be looked at now, by one that has so many connections. */
  boolean wantsLook(long now, int open) {
    return now - lookedAt >= PERIOD && (!looked || listens || others > 0 || open >= watched());
  }

  private int half() {
    return Math.max(1, most / 2);
  }

  /** From here on it looks, so that it knows in time whether it may pass half. */
  private int watched() {
    return Math.max(1, most * 3 / 8);
  }

  /**
   * Takes what a look said.
   *
   * @param at when the look was begun: what it says was so then or later
   * @param otherListens whether another process listens at the address
   * @param connections connections at the address that are not this process's
   */
  void saw(long at, boolean otherListens, int connections) {
    boolean first = !looked;
    looked = true;
    lookedAt = at;
    listens = otherListens;
    others = Math.max(0, connections);
    boolean settled =
        at - beganAt >= FRESH; // whatever the other knew of an empty address is out of date
    admitted |= !otherListens || (first && others <= watched()) || (settled && others <= half());
  }

  /** The list cannot be read: it goes on as if it were alone. */
  void blind() {
    looked = true;
    admitted = true;
  }

  /**
   * How many of so many connections are to give way: what is only not known any longer takes
   * nobody's place.
   */
  int excess(long now, int open) {
    boolean known = listens || now - lookedAt <= FRESH;
    return admitted && known ? Math.max(0, open - bound(now)) : 0;
  }

  /** Up to how many connections it may take further ones now; 0 where it is to let them wait. */
  int bound(long now) {
    if (!admitted) {
      return 0;
    } else if (lookedAt == NEVER) {
      return most;
    } else if (listens || now - lookedAt > FRESH) {
      return half();
    }
    return Math.max(half(), most - others);
  }
}
