package mothwing.net;

import java.util.ArrayDeque;
import mothwing.broker.Scheduler;

/**
 * Bounds how long client requests are read in one turn of the event loop, and sheds a share of them
 * without an admission decision while this process itself is behind. An event loop that is short of
 * processor time finds hundreds of requests in its sockets at each turn; if all were read first,
 * ends of runs would go unnoticed and cores would be idle. Therefore, when the budget of a turn is
 * used up, connections with remaining input wait and read nothing further while events of the pool
 * and timers are served.
 *
 * <p>A connection that has more input than its slice of a turn is backlogged: it waits behind those
 * that have not had a slice, so that a client that sends at full speed does not delay the others.
 * If connections wait long without interruption, reading and deciding alone exceed the capacity of
 * this process: then a growing share of requests is rejected at the least cost, of backlogged
 * connections if only these wait long. Used on its event loop's thread only.
 */
public final class ReadBudget {
  /** Time for reading requests in one turn, enough for some tens of requests. */
  static final long TURN_MICROS = 4_000;

  /** Time for decoding the input of one connection before the next one has its turn. */
  static final long SLICE_MICROS = 1_000;

  /** A slice has at least so many messages: a stall of the thread is no sign of much input. */
  static final int MIN_SLICE_MESSAGES = 16;

  /** A connection that waits for longer than this shows that the process is behind. */
  static final long MAX_WAIT_MICROS = 25_000;

  /** A backlogged connection that has waited for this long has its slice before any other. */
  private static final long MAX_BACKLOG_WAIT_MICROS = 500_000;

  /** A connection that has used up a slice counts as backlogged for this long. */
  private static final long BACKLOG_MEMORY_MICROS = 1_000_000;

  /**
   * Delay from the start of a turn to the next one. Other events that are due by then are served
   * first.
   */
  private static final long NEXT_TURN_DELAY_MICROS = 500;

  private final Scheduler scheduler;

  /** Connections that have not used up a slice lately, in arrival order. */
  private final Queue fresh = new Queue();

  /** Connections that have used up a slice, in the order of their turns. */
  private final Queue backlogged = new Queue();

  private final ShedRatio freshShedRatio;
  private final ShedRatio backloggedShedRatio;
  private long turnEndsAt = Long.MIN_VALUE;
  private long sliceEndsAt = Long.MIN_VALUE;
  private int sliceMessages;
  private boolean turnStarted;
  private boolean resumingQueue;
  private boolean sliceOfBacklogged;

  /** Connections that wait for a slice. */
  private static final class Queue {
    private record Entry(Connection connection, long since) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    boolean isEmpty() {
      return entries.isEmpty();
    }

    void add(Connection connection, long now) {
      entries.add(new Entry(connection, now));
    }

    Connection remove() {
      return entries.remove().connection();
    }

    /** Returns whether the connection at the head has waited for longer than a time. */
    boolean hasWaited(long micros, long now) {
      return !entries.isEmpty() && now - entries.peek().since() > micros;
    }
  }

  /**
   * Creates a budget for which no connection waits.
   *
   * @param scheduler the clock and timers
   */
  public ReadBudget(Scheduler scheduler) {
    this.scheduler = scheduler;
    freshShedRatio = new ShedRatio(scheduler.now());
    backloggedShedRatio = new ShedRatio(scheduler.now());
  }

  /** Returns whether a message may be decoded in this turn, and begins a turn if none has begun. */
  boolean hasBudget() {
    return hasBudget(scheduler.now());
  }

  private boolean hasBudget(long now) {
    if (!turnStarted) {
      turnStarted = true;
      turnEndsAt = now + TURN_MICROS;
      scheduler.schedule(now + NEXT_TURN_DELAY_MICROS, this::runTurn);
      return true;
    }
    return (resumingQueue || fresh.isEmpty()) && now < turnEndsAt;
  }

  /** Begins the slice of a connection that has input to decode. */
  void beginSlice(Connection connection) {
    long now = scheduler.now();
    sliceEndsAt = now + SLICE_MICROS;
    sliceMessages = 0;
    sliceOfBacklogged = connection.input().isBacklogged(now);
  }

  /**
   * Returns whether the connection whose slice was begun last may decode another message now;
   * otherwise it must {@link #enqueue}.
   */
  boolean hasSlice() {
    long now = scheduler.now();
    boolean permitted = hasBudget(now) && !isSliceUsed(now);
    sliceMessages += permitted ? 1 : 0;
    return permitted;
  }

  private boolean isSliceUsed(long now) {
    return now >= sliceEndsAt && sliceMessages >= MIN_SLICE_MESSAGES;
  }

  /** Queues a connection that has input to decode. It reads nothing further until it is resumed. */
  void enqueue(Connection connection) {
    long now = scheduler.now();
    if (isSliceUsed(now)) {
      connection.input().setBackloggedUntil(now + BACKLOG_MEMORY_MICROS);
    }
    (connection.input().isBacklogged(now) ? backlogged : fresh).add(connection, now);
  }

  /**
   * Returns whether the request that is being read is to be shed without an admission decision.
   * Each call counts as one request.
   *
   * @return true for the share of requests that exceeds the capacity of this process
   */
  public boolean shedNext() {
    return (sliceOfBacklogged ? backloggedShedRatio : freshShedRatio).shedNext();
  }

  private void runTurn() {
    turnStarted = false;
    resumingQueue = true;
    while (isAnyWaiting() && hasTurnTime()) {
      resumeNext();
    }
    resumingQueue = false;
    long now = scheduler.now();
    boolean freshWait = fresh.hasWaited(MAX_WAIT_MICROS, now);
    freshShedRatio.update(now, freshWait);
    backloggedShedRatio.update(now, freshWait || backlogged.hasWaited(MAX_WAIT_MICROS, now));
  }

  private boolean isAnyWaiting() {
    return !fresh.isEmpty() || !backlogged.isEmpty();
  }

  private boolean hasTurnTime() {
    return !turnStarted || scheduler.now() < turnEndsAt;
  }

  private void resumeNext() {
    long now = scheduler.now();
    if (fresh.isEmpty() || backlogged.hasWaited(MAX_BACKLOG_WAIT_MICROS, now)) {
      Connection next = backlogged.remove();
      next.input().setBackloggedUntil(now + BACKLOG_MEMORY_MICROS);
      next.input().resumeReading();
    } else {
      fresh.remove().input().resumeReading();
    }
  }
}
