package mothwing.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import mothwing.broker.Scheduler;

/**
 * The connections of one listener and how long each may stay: the idle ones for a span, who says
 * nothing, stops in the middle of a request or does not read for as long as patience lasts.
 * Deadlines stand in a timing wheel, armed for the earliest time at which a connection could
 * overstay; what moves that time on costs nothing.
 */
final class ConnectionTable {
  private static final int SLOTS = 512;
  private static final long TICK = 20_000; // microseconds
  private static final long STOOD_STILL =
      150_000; // microseconds between looks: what was sent meanwhile is not read yet
  private static final long NEWCOMER =
      250_000; // microseconds in which the first request of a connection is on its way
  private static final int TRIES =
      16; // candidates that are looked at for one place: each look reads a socket

  /**
   * Most connections that are shut on this side and wait for the other; they take no place of one
   * that is open.
   */
  static final int MOST_LINGERING = 16;

  private final long patience;
  private final Scheduler timers;
  private final TimingWheel wheel;
  private final Map<Connection, Place> all = new LinkedHashMap<>();
  private final Map<Connection, Place> strangers =
      new LinkedHashMap<>(); // the longest silent first
  private final Set<Connection> lingering = new LinkedHashSet<>(); // the longest first
  private long span;
  private CloseReason why = CloseReason.IDLE;
  private long lookedAt;
  private boolean unread;

  /** A connection's place in the wheel. */
  private final class Place extends TimingWheel.Entry {
    private final Connection connection;
    private long quietSince;
    private boolean closes;

    Place(Connection connection, long now) {
      this.connection = connection;
      quietSince = now;
    }

    /** Something came or left on it. */
    void stirred() {
      if (connection.isLingering()) {
        linger(connection);
        return;
      }
      long now = timers.now();
      quietSince = connection.isQuiet() ? now : Connection.NEVER;
      if (why == CloseReason.DRAIN
          && connection.isQuiet()
          && !connection.isUnidentified()
          && !unread
          && !late(now)
          && !closes) {
        closes =
            true; // right behind its last answer: who asks one thing after the other is never idle
        timers.schedule(
            now,
            () -> {
              closes = false;
              closeIfQuiet();
            });
      }
      if (strangers.remove(connection) != null && connection.isUnidentified()) {
        strangers.put(connection, this);
      }
      arm(now);
    }

    void arm(long now) {
      long at =
          Math.min(
              connection.timeoutAt(patience),
              quietSince == Connection.NEVER ? now + rest() : quietSince + rest());
      if (at < due()) {
        wheel.put(this, at);
      }
    }

    /**
     * What lies in its socket is read first: a request there is answered, and the connection stays
     * for it.
     */
    private void closeIfQuiet() {
      if (all.containsKey(connection) && connection.isQuiet()) {
        connection.readNow();
        if (connection.isQuiet()) {
          connection.close(why, "");
        }
      }
    }

    /**
     * The span for which it may be quiet; one that has just come has its first request on its way.
     */
    private long rest() {
      return span > 0 && connection.isUnidentified() ? Math.max(span, NEWCOMER) : span;
    }

    void judge(long now) {
      CloseReason bad = connection.timeoutReason(now, patience);
      if (bad == CloseReason.NOT_READ) {
        connection.closeNow(bad);
      } else if (bad != null) {
        connection.close(bad, "");
      } else if (!connection.isQuiet()) {
        quietSince = Connection.NEVER;
      } else if (quietSince == Connection.NEVER) {
        quietSince = now;
      } else if (now - quietSince >= rest()) {
        closeIfQuiet();
      }
      if (all.containsKey(connection)) {
        arm(now);
      }
    }
  }

  /**
   * Makes one without connections.
   *
   * @param patience microseconds after which who says nothing, stops in the middle of a request or
   *     does not read is closed
   * @param timers the clocks
   */
  ConnectionTable(long patience, Scheduler timers) {
    this.patience = patience;
    span = patience;
    this.timers = timers;
    lookedAt = timers.now();
    wheel = new TimingWheel(SLOTS, TICK, timers.now());
  }

  private boolean late(long now) {
    return now - lookedAt > STOOD_STILL;
  }

  /** Takes a new connection. */
  void add(Connection connection) {
    Place place = new Place(connection, timers.now());
    all.put(connection, place);
    strangers.put(connection, place);
    connection.superviseWith(timers, place::stirred);
    place.arm(timers.now());
  }

  /** A connection has ended. */
  void remove(Connection connection) {
    Place place = all.remove(connection);
    if (place != null) {
      strangers.remove(connection);
      lingering.remove(connection);
      wheel.remove(place);
    }
  }

  /**
   * It is shut on this side: it has no place any longer, and at the bound of such ones the first of
   * them ends now.
   */
  private void linger(Connection connection) {
    if (all.containsKey(connection)
        && lingering.add(connection)
        && lingering.size() > MOST_LINGERING) {
      lingering.iterator().next().endLinger();
    }
  }

  /** How many are open, without those that linger. */
  int size() {
    return all.size() - lingering.size();
  }

  /** How many hold a descriptor. */
  int held() {
    return all.size();
  }

  /**
   * Closes whom it harms least: of the strangers, which never asked anything whole, the one whose
   * last byte is longest ago, else the gateway that has been quiet for longest. A request that is
   * written slowly outlives who stopped half way, and a gateway whose first request is on its way
   * those that came before. Who waits for its turn never gives way: what it asked has come, and
   * this process is behind. Where each that is looked at turns out to have asked, nobody does.
   */
  void evict() {
    for (int i = 0; i < TRIES; i++) {
      Place least = least();
      if (least == null) {
        return;
      }
      least.connection.readNow();
      if (least == least()) { // nothing lay in its socket that asks
        strangers.remove(least.connection);
        least.connection.close(CloseReason.EVICTED, "");
        return;
      }
    }
  }

  private Place least() {
    for (Place one : strangers.values()) {
      if (!one.connection.isClosed() && !one.connection.isAwaitingBudget()) {
        return one;
      }
    }
    Place least = null;
    for (Place one : all.values()) {
      boolean quiet = !one.connection.isClosed() && one.connection.isQuiet();
      if (quiet && (least == null || one.quietSince < least.quietSince)) {
        least = one;
      }
    }
    return least;
  }

  /**
   * Closes what overstays now, but for the first look after the process stood still: a connection
   * that seems quiet may have a request in its socket. A change of the span or the reason looks at
   * every connection once, else only what is due is looked at.
   *
   * @param quiet microseconds that a connection may be quiet; 0 closes all on which nothing is open
   * @param reason why it is closed after that; where the process leaves, it is closed right behind
   *     its last answer
   */
  void trim(long quiet, CloseReason reason) {
    long now = timers.now();
    unread = late(now);
    lookedAt = now;
    if (unread) {
      return;
    }
    if (quiet != span || reason != why) {
      span = quiet;
      why = reason;
      new ArrayList<>(all.values()).forEach(one -> one.judge(now));
    } else {
      wheel.look(now, one -> ((Place) one).judge(now));
    }
  }
}
