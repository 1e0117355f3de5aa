package mothwing.net;

/**
 * How many connections one of two processes that listen at the same address may have, so that both
 * together stay within the limit of one. They do not talk to each other: each polls the kernel's
 * socket table. A process may have more than half only while a fresh poll shows no other listener;
 * a process that joins an address in use accepts nobody until the other is down to half. Times are
 * microseconds of the monotonic clock; the result of a poll may come late.
 */
final class SharedPortQuota {
  /** For so long the result of a poll is valid. */
  static final long FRESH_MICROS = 500_000;

  private static final long POLL_PERIOD_MICROS = 100_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final int maxConnections;
  private final long startedAt;
  private long polledAt = NEVER;
  private boolean hasPolled;
  private boolean otherListens;
  private boolean admitted;
  private int otherConnections;

  /**
   * Makes a quota before its first poll.
   *
   * @param maxConnections most connections of one process
   * @param now when the process began to listen
   */
  SharedPortQuota(int maxConnections, long now) {
    this.maxConnections = maxConnections;
    startedAt = now;
  }

  /** Whether the socket table is to be polled now, with so many connections open. */
  boolean isPollDue(long now, int open) {
    return now - polledAt >= POLL_PERIOD_MICROS
        && (!hasPolled || otherListens || otherConnections > 0 || open >= pollThreshold());
  }

  private int half() {
    return Math.max(1, maxConnections / 2);
  }

  /** From so many connections on it polls, to know in time whether it may pass half. */
  private int pollThreshold() {
    return Math.max(1, maxConnections * 3 / 8);
  }

  /**
   * Takes the result of a poll.
   *
   * @param at when the poll was begun: the result describes that moment or a later one
   * @param otherListens whether another process listens at the address
   * @param connections connections at the address that are not this process's
   */
  void update(long at, boolean otherListens, int connections) {
    boolean first = !hasPolled;
    hasPolled = true;
    polledAt = at;
    this.otherListens = otherListens;
    otherConnections = Math.max(0, connections);
    boolean otherHasPolled = at - startedAt >= FRESH_MICROS; // since this process listens
    admitted |=
        !otherListens
            || (first && otherConnections <= pollThreshold())
            || (otherHasPolled && otherConnections <= half());
  }

  /** The socket table cannot be read: the quota is that of a process alone at its address. */
  void assumeAlone() {
    hasPolled = true;
    admitted = true;
  }

  /**
   * How many of so many open connections are to be evicted: none because of an outdated poll alone.
   */
  int excess(long now, int open) {
    boolean known = otherListens || now - polledAt <= FRESH_MICROS;
    return admitted && known ? Math.max(0, open - limit(now)) : 0;
  }

  /** How many connections may be open now; 0 where none is to be accepted yet. */
  int limit(long now) {
    if (!admitted) {
      return 0;
    } else if (polledAt == NEVER) {
      return maxConnections;
    } else if (otherListens || now - polledAt > FRESH_MICROS) {
      return half();
    }
    return Math.max(half(), maxConnections - otherConnections);
  }
}
