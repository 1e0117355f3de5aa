package mothwing.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.broker.Scheduler;

/**
 * The connections of one listener. Closes idle ones after the idle limit, and those that send
 * nothing, stop in the middle of a request or do not read after the peer timeout. Where answers are
 * pending on a connection, only the request that was not completed is ended. A timing wheel holds
 * the deadlines, each armed for the earliest time at which the connection could expire, so that
 * activity which postpones a deadline costs nothing.
 */
final class ConnectionTable {
  private static final int WHEEL_SLOTS = 512;
  private static final long WHEEL_TICK_MICROS = 20_000;

  /** A longer gap between two passes is a stall, after which sockets may hold unread requests. */
  private static final long STALL_MICROS = 150_000;

  /** The first request of a new connection may be in flight for this long. */
  private static final long FIRST_REQUEST_GRACE_MICROS = 250_000;

  /** Most candidates checked per eviction, since each check reads a socket. */
  private static final int MAX_EVICTION_CHECKS = 16;

  /** Most connections whose output is shut down and that await the peer's close. */
  static final int MAX_LINGERING = 16;

  private final long peerTimeout;
  private final Scheduler scheduler;
  private final TimingWheel wheel;
  private final Map<Connection, TrackedConnection> tracked = new LinkedHashMap<>();

  /** Connections without a complete request so far, least recently active first. */
  private final Map<Connection, TrackedConnection> unidentified = new LinkedHashMap<>();

  /** Connections that await the peer's close, longest first. */
  private final Set<Connection> lingering = new LinkedHashSet<>();

  private long idleLimit;
  private CloseReason idleReason = CloseReason.IDLE;
  private long lastPassAt;
  private boolean stalled;

  /** A connection and its deadlines. */
  private final class TrackedConnection extends TimingWheel.Entry {
    private final Connection connection;
    private long idleSince;
    private boolean closeScheduled;

    TrackedConnection(Connection connection, long now) {
      this.connection = connection;
      idleSince = now;
    }

    /**
     * Updates the deadlines and the state after bytes were received or sent, or the connection's
     * state changed.
     */
    void onActivity() {
      if (connection.isLingering()) {
        markLingering(connection);
        return;
      }
      long now = scheduler.now();
      idleSince = connection.isClosable() ? now : Connection.NEVER;
      if (shouldCloseAfterAnswer(now)) {
        closeScheduled = true;
        scheduler.schedule(
            now,
            () -> {
              closeScheduled = false;
              closeIfClosable();
            });
      }
      if (unidentified.remove(connection) != null && connection.isUnidentified()) {
        unidentified.put(connection, this);
      }
      arm(now);
    }

    /**
     * Returns whether the connection is to be closed right after its answer. In a shutdown this is
     * necessary because a peer that sends one request after another is never idle.
     */
    private boolean shouldCloseAfterAnswer(long now) {
      return idleReason == CloseReason.DRAIN
          && connection.isClosable()
          && !connection.isUnidentified()
          && !stalled
          && !hasStalled(now)
          && !closeScheduled;
    }

    void arm(long now) {
      long idleFrom = idleSince == Connection.NEVER ? now : idleSince;
      long expiresAt = Math.min(connection.timeoutAt(peerTimeout), idleFrom + idleAllowance());
      if (expiresAt < due()) {
        wheel.put(this, expiresAt);
      }
    }

    /** Reads the socket, and closes the connection if it holds no request. */
    private void closeIfClosable() {
      if (tracked.containsKey(connection) && connection.isClosable()) {
        connection.readNow();
        if (connection.isClosable()) {
          connection.close(idleReason, "");
        }
      }
    }

    private long idleAllowance() {
      return idleLimit > 0 && connection.isUnidentified()
          ? Math.max(idleLimit, FIRST_REQUEST_GRACE_MICROS)
          : idleLimit;
    }

    /** Returns why the connection has timed out, after reading what lies in its socket, or null. */
    private CloseReason timeoutReason(long now) {
      CloseReason timeout = connection.timeoutReason(now, peerTimeout);
      if (timeout == null || timeout == CloseReason.NOT_READ) {
        return timeout;
      }
      connection.readNow();
      return connection.timeoutReason(now, peerTimeout);
    }

    void closeIfExpired(long now) {
      CloseReason timeout = timeoutReason(now);
      if (timeout != null) {
        connection.endTimedOut(timeout, now - peerTimeout);
      } else if (!connection.isClosable()) {
        idleSince = Connection.NEVER;
      } else if (idleSince == Connection.NEVER) {
        idleSince = now;
      } else if (now - idleSince >= idleAllowance()) {
        closeIfClosable();
      }
      if (tracked.containsKey(connection)) {
        arm(now);
      }
    }
  }

  /**
   * Creates an empty table.
   *
   * @param peerTimeout microseconds after which a peer that sends nothing, stops in the middle of a
   *     request or does not read is disconnected
   * @param scheduler the clock and timers
   */
  ConnectionTable(long peerTimeout, Scheduler scheduler) {
    this.peerTimeout = peerTimeout;
    idleLimit = peerTimeout;
    this.scheduler = scheduler;
    lastPassAt = scheduler.now();
    wheel = new TimingWheel(WHEEL_SLOTS, WHEEL_TICK_MICROS, scheduler.now());
  }

  private boolean hasStalled(long now) {
    return now - lastPassAt > STALL_MICROS;
  }

  /** Adds a new connection and starts its timeouts. */
  void add(Connection connection) {
    TrackedConnection entry = new TrackedConnection(connection, scheduler.now());
    tracked.put(connection, entry);
    unidentified.put(connection, entry);
    connection.startTimeouts(scheduler, entry::onActivity);
    entry.arm(scheduler.now());
  }

  /** Removes a connection that has ended. */
  void remove(Connection connection) {
    TrackedConnection entry = tracked.remove(connection);
    if (entry != null) {
      unidentified.remove(connection);
      lingering.remove(connection);
      wheel.remove(entry);
    }
  }

  /**
   * Stops counting a lingering connection as open. Above {@link #MAX_LINGERING} the oldest
   * lingering connection is closed at once.
   */
  private void markLingering(Connection connection) {
    if (tracked.containsKey(connection)
        && lingering.add(connection)
        && lingering.size() > MAX_LINGERING) {
      lingering.iterator().next().endLinger();
    }
  }

  /** Returns the number of open connections, without lingering ones. */
  int size() {
    return tracked.size() - lingering.size();
  }

  /** Returns the number of connections that hold a file descriptor. */
  int descriptorCount() {
    return tracked.size();
  }

  /**
   * Closes the connection whose loss does the least harm: the least recently active one that never
   * sent a complete request, else the one that has been idle for longest. A client that writes
   * slowly thus outlives one that has stopped. A connection that awaits the read budget is never
   * closed, since its request has arrived and this process is behind. If the first {@link
   * #MAX_EVICTION_CHECKS} candidates all turn out to have sent something, none is closed.
   */
  void evict() {
    for (int i = 0; i < MAX_EVICTION_CHECKS; i++) {
      TrackedConnection candidate = evictionCandidate();
      if (candidate == null) {
        return;
      }
      candidate.connection.readNow();
      if (candidate == evictionCandidate()) { // its socket held no request
        unidentified.remove(candidate.connection);
        candidate.connection.close(CloseReason.EVICTED, "");
        return;
      }
    }
  }

  private TrackedConnection evictionCandidate() {
    for (TrackedConnection entry : unidentified.values()) {
      if (!entry.connection.isClosed() && !entry.connection.input().isUndecoded()) {
        return entry;
      }
    }
    TrackedConnection longestIdle = null;
    for (TrackedConnection entry : tracked.values()) {
      boolean quiet = !entry.connection.isClosed() && entry.connection.isClosable();
      if (quiet && (longestIdle == null || entry.idleSince < longestIdle.idleSince)) {
        longestIdle = entry;
      }
    }
    return longestIdle;
  }

  /**
   * Closes the connections that have expired, except in the first pass after a stall of the
   * process, when a connection that seems idle may have an unread request in its socket. A change
   * of limit or reason checks every connection once; otherwise only those that are due are checked.
   *
   * @param limit microseconds for which a connection may be idle; 0 closes all without an open or
   *     incomplete request
   * @param reason why idle connections are closed; with {@link CloseReason#DRAIN} they are closed
   *     right after their last answer
   */
  void closeExpired(long limit, CloseReason reason) {
    long now = scheduler.now();
    stalled = hasStalled(now);
    lastPassAt = now;
    if (stalled) {
      return;
    }
    if (limit != idleLimit || reason != idleReason) {
      idleLimit = limit;
      idleReason = reason;
      List<TrackedConnection> entries = new ArrayList<>(tracked.values());
      entries.forEach(entry -> entry.closeIfExpired(now));
    } else {
      wheel.advance(now, entry -> ((TrackedConnection) entry).closeIfExpired(now));
    }
  }
}
