package mothwing.net;

import java.util.ArrayDeque;
import mothwing.broker.Scheduler;

/**
 * How much of what clients send is taken in one go, and which share is refused undecided since this
 * process itself is behind. A loop that is short of processor time finds hundreds of requests in
 * its sockets at each turn; were all of them taken first, runs would end unseen and cores stand
 * idle meanwhile. So after a span the connections that still have something wait, in the order in
 * which they came, and read nothing further; batches of events, the pool and timers come in
 * between. Where some wait for longer, reading and deciding alone wants more than there is: then a
 * growing share is refused at the least cost. On its loop's thread only.
 */
public final class ReadBudget {
  /** Microseconds for which clients' requests are taken in one go: some tens of requests. */
  static final long SPAN = 4_000;

  /**
   * Microseconds for which some connection always waits before anything is refused for it: a burst
   * is over sooner.
   */
  static final long GRACE = 150_000;

  private static final long PAUSE = 500; // microseconds in which all else that is due has its turn
  private static final double UP =
      250_000; // microseconds in which the share rises most of the way: queues cost more
  private static final double DOWN = 1_000_000; // the same when none waits
  private static final long LONGEST =
      100_000; // microseconds of one step up: a process that stood still knows nothing
  private final Scheduler timers;
  private final ArrayDeque<Connection> waiting = new ArrayDeque<>();
  private long until = Long.MIN_VALUE;
  private boolean asked;
  private boolean going;
  private long behindSince = Connection.NEVER;
  private long seenAt;
  private double share;
  private double owed;

  /**
   * Makes one; no connection waits.
   *
   * @param timers the clocks
   */
  public ReadBudget(Scheduler timers) {
    this.timers = timers;
    seenAt = timers.now();
  }

  /** Whether a connection may take a further piece now, or is to {@link #enqueue} its turn. */
  boolean hasBudget() {
    if (!asked) { // the first piece of this turn
      asked = true;
      until = timers.now() + SPAN;
      timers.schedule(timers.now() + PAUSE, this::next);
      return true;
    }
    return (going || waiting.isEmpty()) && timers.now() < until;
  }

  /**
   * Takes a connection that has something to take, and reads nothing from its other end until its
   * turn comes.
   */
  void enqueue(Connection connection) {
    waiting.add(connection);
  }

  /**
   * Whether a request that is being read now is to be refused undecided. Every call counts as one
   * request.
   *
   * @return true for the share that this process cannot decide
   */
  public boolean isOverloaded() {
    owed += share;
    if (owed < 1) {
      return false;
    }
    owed--;
    return true;
  }

  private void next() {
    asked = false;
    going = true;
    for (int left = waiting.size(); left > 0 && hasBudget(); left--) {
      waiting.remove().resumeReading();
    }
    going = false;
    look(timers.now());
  }

  private void look(long now) {
    if (waiting.isEmpty()) {
      behindSince = Connection.NEVER;
      share *= Math.exp((seenAt - now) / DOWN);
    } else {
      behindSince = Math.min(behindSince, now);
      double span = now - behindSince > GRACE ? Math.min(LONGEST, now - seenAt) : 0;
      share = 1 - (1 - share) * Math.exp(-span / UP);
    }
    seenAt = now;
  }
}
