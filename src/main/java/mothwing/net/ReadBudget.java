package mothwing.net;

import java.util.ArrayDeque;
import mothwing.broker.Scheduler;

/**
 * Bounds how long client requests are read in one turn of the event loop, and sheds a share of them
 * undecided while this process itself is behind. A loop that is short of processor time finds
 * hundreds of requests in its sockets at each turn; if all were read first, ends of runs would go
 * unnoticed and cores would stand idle. So when the turn is over the connections that still have
 * input wait in arrival order and read nothing further, while events of the pool and timers are
 * served. Where some connection always waits, reading and deciding alone exceed the capacity: then
 * a growing share of requests is rejected at the least cost. On its loop's thread only.
 */
public final class ReadBudget {
  /** For so long requests are read in one turn: some tens of requests. */
  static final long TURN_MICROS = 4_000;

  /** Requests are shed once some connection has always waited for so long: a burst is shorter. */
  static final long GRACE_MICROS = 150_000;

  /** Between two turns all other events that are due are served. */
  private static final long TURN_GAP_MICROS = 500;

  /** Time constant of the rise of the shed ratio: short, as queues grow meanwhile. */
  private static final double SHED_RISE_MICROS = 250_000;

  /** Time constant of the fall of the shed ratio. */
  private static final double SHED_FALL_MICROS = 1_000_000;

  /** Bounds one step of the rise: a gap in which the process stalled says nothing of its load. */
  private static final long MAX_RISE_STEP_MICROS = 100_000;

  private final Scheduler timers;
  private final ArrayDeque<Connection> waiting = new ArrayDeque<>();
  private long turnEndsAt = Long.MIN_VALUE;
  private boolean turnStarted;
  private boolean resumingQueue;
  private long behindSince = Connection.NEVER;
  private long updatedAt;
  private double shedRatio;
  private double shedCredit;

  /**
   * Makes a budget for which no connection waits.
   *
   * @param timers the clocks
   */
  public ReadBudget(Scheduler timers) {
    this.timers = timers;
    updatedAt = timers.now();
  }

  /** Whether a connection may decode a further message now; else it is to {@link #enqueue}. */
  boolean hasBudget() {
    if (!turnStarted) { // the first message of this turn
      turnStarted = true;
      turnEndsAt = timers.now() + TURN_MICROS;
      timers.schedule(timers.now() + TURN_GAP_MICROS, this::runTurn);
      return true;
    }
    return (resumingQueue || waiting.isEmpty()) && timers.now() < turnEndsAt;
  }

  /** Queues a connection that has input to decode. It reads nothing further until it is resumed. */
  void enqueue(Connection connection) {
    waiting.add(connection);
  }

  /**
   * Whether the request that is being read now is to be shed undecided. Every call counts as one
   * request.
   *
   * @return true for the share that exceeds the capacity of this process
   */
  public boolean isOverloaded() {
    shedCredit += shedRatio;
    if (shedCredit < 1) {
      return false;
    }
    shedCredit--;
    return true;
  }

  private void runTurn() {
    turnStarted = false;
    resumingQueue = true;
    for (int left = waiting.size(); left > 0 && hasBudget(); left--) {
      waiting.remove().resumeReading();
    }
    resumingQueue = false;
    updateShedRatio(timers.now());
  }

  private void updateShedRatio(long now) {
    if (waiting.isEmpty()) {
      behindSince = Connection.NEVER;
      shedRatio *= Math.exp((updatedAt - now) / SHED_FALL_MICROS);
    } else {
      behindSince = Math.min(behindSince, now);
      double span =
          now - behindSince > GRACE_MICROS ? Math.min(MAX_RISE_STEP_MICROS, now - updatedAt) : 0;
      shedRatio = 1 - (1 - shedRatio) * Math.exp(-span / SHED_RISE_MICROS);
    }
    updatedAt = now;
  }
}
