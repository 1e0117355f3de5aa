package mothwing.net;

import java.util.ArrayDeque;
import mothwing.broker.Scheduler;

/**
 * Bounds how long client requests are read in one turn of the event loop, and sheds a share of them
 * without an admission decision while this process itself is behind. An event loop that is short of
 * processor time finds hundreds of requests in its sockets at each turn; if all were read first,
 * ends of runs would go unnoticed and cores would be idle. Therefore, when the budget of a turn is
 * used up, connections with remaining input wait in arrival order and read nothing further while
 * events of the pool and timers are served. If connections wait without interruption, reading and
 * deciding alone exceed the capacity of this process: then a growing share of requests is rejected
 * at the least cost. Used on its event loop's thread only.
 */
public final class ReadBudget {
  /** Time for reading requests in one turn, enough for some tens of requests. */
  static final long TURN_MICROS = 4_000;

  /**
   * Requests are shed once connections have waited without interruption for this long: a burst is
   * shorter.
   */
  static final long GRACE_MICROS = 150_000;

  /**
   * Delay from the start of a turn to the next one. Other events that are due by then are served
   * first.
   */
  private static final long NEXT_TURN_DELAY_MICROS = 500;

  /** Time constant of the rise of the shed ratio: short, because queues grow in the meantime. */
  private static final double SHED_RISE_MICROS = 250_000;

  /** Time constant of the fall of the shed ratio. */
  private static final double SHED_FALL_MICROS = 1_000_000;

  /**
   * Longest interval that one update counts, since a stall of the process says nothing about its
   * load.
   */
  private static final long MAX_RISE_STEP_MICROS = 100_000;

  private final Scheduler scheduler;
  private final ArrayDeque<Connection> waiting = new ArrayDeque<>();
  private long turnEndsAt = Long.MIN_VALUE;
  private boolean turnStarted;
  private boolean resumingQueue;
  private long behindSince = Connection.NEVER;
  private long updatedAt;
  private double shedRatio;
  private double shedCredit;

  /**
   * Creates a budget for which no connection waits.
   *
   * @param scheduler the clock and timers
   */
  public ReadBudget(Scheduler scheduler) {
    this.scheduler = scheduler;
    updatedAt = scheduler.now();
  }

  /**
   * Returns whether a connection may decode another message now; otherwise it must {@link
   * #enqueue}. The first call begins a turn.
   */
  boolean hasBudget() {
    if (!turnStarted) { // the first message of this turn
      turnStarted = true;
      turnEndsAt = scheduler.now() + TURN_MICROS;
      scheduler.schedule(scheduler.now() + NEXT_TURN_DELAY_MICROS, this::runTurn);
      return true;
    }
    return (resumingQueue || waiting.isEmpty()) && scheduler.now() < turnEndsAt;
  }

  /** Queues a connection that has input to decode. It reads nothing further until it is resumed. */
  void enqueue(Connection connection) {
    waiting.add(connection);
  }

  /**
   * Returns whether the request that is being read is to be shed without an admission decision.
   * Each call counts as one request.
   *
   * @return true for the share of requests that exceeds the capacity of this process
   */
  public boolean shedNext() {
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
    for (int remaining = waiting.size(); remaining > 0 && hasBudget(); remaining--) {
      waiting.remove().resumeReading();
    }
    resumingQueue = false;
    updateShedRatio(scheduler.now());
  }

  private void updateShedRatio(long now) {
    if (waiting.isEmpty()) {
      behindSince = Connection.NEVER;
      shedRatio *= Math.exp((updatedAt - now) / SHED_FALL_MICROS);
    } else {
      behindSince = Math.min(behindSince, now);
      double interval =
          now - behindSince > GRACE_MICROS ? Math.min(MAX_RISE_STEP_MICROS, now - updatedAt) : 0;
      shedRatio = 1 - (1 - shedRatio) * Math.exp(-interval / SHED_RISE_MICROS);
    }
    updatedAt = now;
  }
}
