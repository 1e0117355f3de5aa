package mothwing.net;

/**
 * Limits the connections of one of two processes that listen at the same address, so that both
 * together stay within the limit of one. The processes do not communicate: each polls the kernel's
 * socket table. A process may have more than half only while a fresh poll shows no other listener;
 * a process that starts at an address in use accepts no connections until the other process is down
 * to half. Times are microseconds of the monotonic clock; the result of a poll may arrive late.
 */
final class SharedPortQuota {
  /** The result of a poll is valid for this long. */
  static final long FRESH_MICROS = 500_000;

  private static final long POLL_PERIOD_MICROS = 100_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final int maxConnections;
  private final long startedAt;
  private long polledAt = NEVER;
  private boolean hasPolled;
  private boolean otherListens;
  private boolean mayAccept;
  private int otherConnections;

  /**
   * Creates a quota that has not been polled yet.
   *
   * @param maxConnections most connections of one process
   * @param now when the process began to listen
   */
  SharedPortQuota(int maxConnections, long now) {
    this.maxConnections = maxConnections;
    startedAt = now;
  }

  /** Returns whether the socket table is to be polled now, given the number of open connections. */
  boolean isPollDue(long now, int open) {
    return now - polledAt >= POLL_PERIOD_MICROS
        && (!hasPolled || otherListens || otherConnections > 0 || open >= pollThreshold());
  }

  private int halfLimit() {
    return Math.max(1, maxConnections / 2);
  }

  /**
   * Number of open connections from which polling is needed, to find out in time whether half may
   * be exceeded.
   */
  private int pollThreshold() {
    return Math.max(1, maxConnections * 3 / 8);
  }

  /**
   * Updates the quota from the result of a poll.
   *
   * @param pollStartedAt when the poll began: the result describes that moment or a later one
   * @param otherListens whether another process listens at the address
   * @param connections connections at the address that belong to other processes
   */
  void update(long pollStartedAt, boolean otherListens, int connections) {
    boolean isFirstPoll = !hasPolled;
    hasPolled = true;
    polledAt = pollStartedAt;
    this.otherListens = otherListens;
    otherConnections = Math.max(0, connections);
    // After this time the other process has polled and seen that this one listens.
    boolean otherHasPolled = pollStartedAt - startedAt >= FRESH_MICROS;
    mayAccept |=
        !otherListens
            || (isFirstPoll && otherConnections <= pollThreshold())
            || (otherHasPolled && otherConnections <= halfLimit());
  }

  /**
   * Assumes that no other process listens at the address. For systems whose socket table cannot be
   * read.
   */
  void assumeAlone() {
    hasPolled = true;
    mayAccept = true;
  }

  /**
   * Returns how many of the open connections are to be evicted. An outdated poll that saw no other
   * listener evicts none.
   */
  int excess(long now, int open) {
    boolean isCurrent = otherListens || now - polledAt <= FRESH_MICROS;
    return mayAccept && isCurrent ? Math.max(0, open - limit(now)) : 0;
  }

  /** Returns how many connections may be open now, or 0 if none is to be accepted yet. */
  int limit(long now) {
    if (!mayAccept) {
      return 0;
    } else if (polledAt == NEVER) {
      return maxConnections;
    } else if (otherListens || now - polledAt > FRESH_MICROS) {
      return halfLimit();
    }
    return Math.max(halfLimit(), maxConnections - otherConnections);
  }
}
