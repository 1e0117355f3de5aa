package mothwing.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.broker.Scheduler;

/**
 * The connections of one listener and how long each may stay: idle ones up to the idle limit, those
 * that send nothing, stop in the middle of a request or do not read up to the peer timeout. The
 * deadlines are kept in a timing wheel, armed for the earliest time at which a connection could
 * expire, so that activity which moves a deadline on costs nothing.
 */
final class ConnectionTable {
  private static final int WHEEL_SLOTS = 512;
  private static final long WHEEL_TICK_MICROS = 20_000;

  /** After a longer gap between two passes the sockets may hold requests that were not read yet. */
  private static final long STALL_MICROS = 150_000;

  /** For so long the first request of a new connection may be on its way. */
  private static final long FIRST_REQUEST_GRACE_MICROS = 250_000;

  /** Candidates checked for one eviction: each check reads a socket. */
  private static final int MAX_EVICTION_CHECKS = 16;

  /** Most connections that are shut on this side and await the close of the other side. */
  static final int MAX_LINGERING = 16;

  private final long peerTimeout;
  private final Scheduler scheduler;
  private final TimingWheel wheel;
  private final Map<Connection, TrackedConnection> tracked = new LinkedHashMap<>();
  private final Map<Connection, TrackedConnection> unidentified =
      new LinkedHashMap<>(); // least recently active first
  private final Set<Connection> lingering = new LinkedHashSet<>(); // longest first
  private long idleLimit;
  private CloseReason idleReason = CloseReason.IDLE;
  private long lastPassAt;
  private boolean stalled;

  /** The deadlines of one connection. */
  private final class TrackedConnection extends TimingWheel.Entry {
    private final Connection connection;
    private long idleSince;
    private boolean closeScheduled;

    TrackedConnection(Connection connection, long now) {
      this.connection = connection;
      idleSince = now;
    }

    /** Bytes came or left, or the connection's state changed. */
    void onActivity() {
      if (connection.isLingering()) {
        markLingering(connection);
        return;
      }
      long now = scheduler.now();
      idleSince = connection.isQuiet() ? now : Connection.NEVER;
      if (mayCloseAfterAnswer(now)) {
        closeScheduled = true;
        scheduler.schedule(
            now,
            () -> {
              closeScheduled = false;
              closeIfQuiet();
            });
      }
      if (unidentified.remove(connection) != null && connection.isUnidentified()) {
        unidentified.put(connection, this);
      }
      arm(now);
    }

    /** In a shutdown: a peer that sends one request after the other is never idle. */
    private boolean mayCloseAfterAnswer(long now) {
      return idleReason == CloseReason.DRAIN
          && connection.isQuiet()
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

    /** A request that lies in the socket is read first, and the connection stays for it. */
    private void closeIfQuiet() {
      if (tracked.containsKey(connection) && connection.isQuiet()) {
        connection.readNow();
        if (connection.isQuiet()) {
          connection.close(idleReason, "");
        }
      }
    }

    private long idleAllowance() {
      return idleLimit > 0 && connection.isUnidentified()
          ? Math.max(idleLimit, FIRST_REQUEST_GRACE_MICROS)
          : idleLimit;
    }

    void closeIfExpired(long now) {
      CloseReason timeout = connection.timeoutReason(now, peerTimeout);
      if (timeout == CloseReason.NOT_READ) {
        connection.closeNow(timeout);
      } else if (timeout != null) {
        connection.close(timeout, "");
      } else if (!connection.isQuiet()) {
        idleSince = Connection.NEVER;
      } else if (idleSince == Connection.NEVER) {
        idleSince = now;
      } else if (now - idleSince >= idleAllowance()) {
        closeIfQuiet();
      }
      if (tracked.containsKey(connection)) {
        arm(now);
      }
    }
  }

  /**
   * Makes an empty table.
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

  /** Takes a new connection. */
  void add(Connection connection) {
    TrackedConnection entry = new TrackedConnection(connection, scheduler.now());
    tracked.put(connection, entry);
    unidentified.put(connection, entry);
    connection.superviseWith(scheduler, entry::onActivity);
    entry.arm(scheduler.now());
  }

  /** Forgets a connection that has ended. */
  void remove(Connection connection) {
    TrackedConnection entry = tracked.remove(connection);
    if (entry != null) {
      unidentified.remove(connection);
      lingering.remove(connection);
      wheel.remove(entry);
    }
  }

  /** A lingering connection no longer counts as open; over their bound the oldest ends now. */
  private void markLingering(Connection connection) {
    if (tracked.containsKey(connection)
        && lingering.add(connection)
        && lingering.size() > MAX_LINGERING) {
      lingering.iterator().next().endLinger();
    }
  }

  /** How many are open, without those that linger. */
  int size() {
    return tracked.size() - lingering.size();
  }

  /** How many hold a file descriptor. */
  int descriptors() {
    return tracked.size();
  }

  /**
   * Closes the connection whose loss does least harm: the least recently active one that never sent
   * a complete request, else the one that has been idle for longest. A slow writer so outlives one
   * that has stopped. A connection that awaits its read budget is never closed: its request has
   * come, and this process is behind. Where every candidate turns out to have sent something, none
   * is closed.
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
      if (!entry.connection.isClosed() && !entry.connection.isAwaitingBudget()) {
        return entry;
      }
    }
    TrackedConnection longestIdle = null;
    for (TrackedConnection entry : tracked.values()) {
      boolean quiet = !entry.connection.isClosed() && entry.connection.isQuiet();
      if (quiet && (longestIdle == null || entry.idleSince < longestIdle.idleSince)) {
        longestIdle = entry;
      }
    }
    return longestIdle;
  }

  /**
   * Closes the connections that have expired, except in the first pass after a stall of the
   * process: a connection that seems idle may have a request in its socket. A change of limit or
   * reason checks every connection once, otherwise only those that are due are checked.
   *
   * @param limit microseconds for which a connection may be idle; 0 closes all without a request
   * @param reason why idle connections are closed; in a shutdown they are closed right after their
   *     last answer
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
