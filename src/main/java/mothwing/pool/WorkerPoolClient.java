package mothwing.pool;

import java.util.Set;
import java.util.function.Supplier;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Exchange;
import mothwing.broker.Scheduler;
import mothwing.broker.WorkerPool;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.Connector;

/**
 * The worker pool over its links: a link that breaks is opened again and goes on after the last
 * notice read, and so does the link to a new address. The old link is heard until the pool has
 * taken the new one, so that what was sent on it last is read.
 */
public final class WorkerPoolClient implements WorkerPool {
  static final Set<String> NOTICES =
      Set.of("bound", "finished", "blocked", "polled", "verified", "unknown", "chatter");

  private static final long MILLI = 1000;
  private static final long LONGEST_WAIT = 500 * MILLI;
  private static final long LEAST_WAIT = 5 * MILLI;

  /** A link that lived for so long broke by itself; one that lived for less is one of a row. */
  private static final long STEADY = 2000 * MILLI;

  private static final int LIFE_TO_WAIT =
      8; // a row of short links costs a ninth of the time at most
  private static final long LOOK =
      250 * MILLI; // between looks at a silent link; a look later by as much stood still

  /**
   * For so long a link may be silent behind a question, or unbound once the pool was up, before
   * another is opened beside it.
   */
  static final long SILENT = 2000 * MILLI;

  /**
   * For so long a first link may be unbound at first: the pool may come up long after this process,
   * or the link may lead nowhere.
   */
  static final long UNBOUND = 4000 * MILLI;

  private static final long MOST_GAP =
      1 << 20; // numbers that a notice may be ahead: the pool keeps 4,000

  private final Scheduler timers;
  private final Counters counters;
  private final EventLog log;
  private Connector dialer;
  private Broker broker;
  private WorkerPoolConnection attach;
  private WorkerPoolConnection former;
  private long last;
  private long wait;
  private int dials;
  private boolean dialing;
  private boolean stopped;
  private long patience = UNBOUND;
  private long lookedAt;
  private long gapAfter = -1;

  /**
   * Makes a pool that is not linked yet.
   *
   * @param dialer opens links to the pool's address
   * @param timers the clocks
   * @param counters counts what happens
   * @param log takes lines of the log
   */
  public WorkerPoolClient(Connector dialer, Scheduler timers, Counters counters, EventLog log) {
    this.dialer = dialer;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Opens the first link.
   *
   * @param to takes what the pool says
   */
  public void attach(Broker to) {
    broker = to;
    dial();
    look();
  }

  /**
   * A link that is open and silent may be half dead. Another is opened beside it, and it is left
   * only once the pool has taken that: a pool that is merely slow loses nothing. A pool that has
   * not come up yet is asked ever more seldom.
   */
  private void look() {
    if (stopped) {
      return;
    }
    long now = timers.now();
    boolean stoodStill = now - lookedAt > 2 * LOOK;
    lookedAt = now;
    timers.schedule(now + LOOK, this::look);
    if (attach != null) {
      attach.askAgain();
    }
    if (!stoodStill && !dialing && attach != null && attach.silentFor(now) > patience) {
      counters.add("pool-silent-link");
      log.write("pool-silent ms=" + attach.silentFor(now) / MILLI);
      patience =
          Math.min(
              8 * SILENT,
              2 * patience); // before the pool first came up, too: it may be long in coming
      dial();
    }
  }

  /**
   * The pool is to be reached elsewhere from now on: any attempt at the old address is given up.
   *
   * @param elsewhere opens links to the new address
   */
  public void changeAddress(Connector elsewhere) {
    dialer = elsewhere;
    wait = 0;
    if (broker != null) {
      dial();
    }
  }

  private void dial() {
    if (stopped) {
      return;
    }
    dialing = true;
    int mine = ++dials;
    Supplier<Connection> maker = () -> new WorkerPoolConnection(this, mine, broker, log, counters);
    dialer.connect(maker, () -> again(mine));
  }

  /**
   * Dials again after a while, unless another dial, of a new address, has taken the place of this
   * one.
   */
  private void again(int mine) {
    if (mine != dials) {
      return;
    }
    dialing = true;
    counters.add("pool-relinks");
    timers.schedule(
        timers.now() + wait,
        () -> {
          if (mine == dials) {
            dial();
          }
        });
    wait = Math.min(LONGEST_WAIT, Math.max(LEAST_WAIT, 2 * wait));
  }

  /**
   * A link is open: it takes the place of the one before it, unless a later dial has overtaken it.
   */
  boolean opened(WorkerPoolConnection opened, int dial) {
    if (dial != dials) {
      return false;
    }
    dialing = false;
    leaveFormer();
    former = attach;
    attach = opened;
    if (former != null) {
      broker.poolDisconnected();
    }
    return true;
  }

  private void leaveFormer() {
    if (former != null) {
      former.close(CloseReason.MOVED, "");
      former = null;
    }
  }

  /** Opens no link any more. */
  public void stop() {
    stopped = true;
  }

  long lastNotice() {
    return last;
  }

  /**
   * Whether a numbered notice is the next one: one that was read before is passed over, and so is a
   * number that no pool reaches. Behind a gap the link is opened again, once, for what is missing;
   * the pool gives all notices after the last.
   */
  boolean isNext(WorkerPoolConnection on, long place) {
    if (place <= last) {
      counters.add("pool-notices-repeated");
      return false;
    }
    if (place - last > MOST_GAP) {
      counters.add("pool-notices-misnumbered");
      return false;
    }
    if (place > last + 1) {
      log.write("pool-gap after=" + last + " next=" + place);
      if (gapAfter != last) {
        gapAfter = last;
        on.close(CloseReason.MISSED, "");
        return false;
      }
      counters.add("pool-notices-missed", place - last - 1);
    }
    last = place;
    return true;
  }

  void bound() {
    leaveFormer();
  }

  /** All that the pool had to say on a new link has been read. */
  void caughtUp() {
    patience = SILENT;
  }

  long now() {
    return timers.now();
  }

  void ended(WorkerPoolConnection which) {
    if (attach == which) {
      attach = null;
      if (which.caughtUp()) {
        wait = waitAfter(timers.now() - which.openedAt());
      }
      log.write(
          "pool-link-lost lived_ms="
              + (timers.now() - which.openedAt()) / MILLI
              + " caught_up="
              + which.caughtUp()
              + " next_ms="
              + wait / MILLI);
      broker.poolDisconnected();
      if (!dialing) {
        again(dials);
      }
    }
  }

  /**
   * How long to wait behind a good link of so long a life: none at first, ever longer in a row of
   * short ones.
   */
  private long waitAfter(long lived) {
    return lived >= STEADY ? 0 : Math.max(LEAST_WAIT, Math.min(wait, lived / LIFE_TO_WAIT));
  }

  @Override
  public boolean isReady() {
    return attach != null && attach.isReady();
  }

  @Override
  public boolean startRun(Exchange exchange) {
    return isReady() && attach.startRun(exchange);
  }

  @Override
  public void stopRun(String id) {
    if (isReady()) {
      attach.stopRun(id);
    }
  }

  @Override
  public void resumeRun(String id) {
    if (isReady()) {
      attach.resumeRun(id);
    }
  }

  @Override
  public void resumeWithResult(String id, byte[] result) {
    if (isReady()) {
      attach.resumeWithResult(id, result);
    }
  }

  @Override
  public void resumeWithoutResult(String id) {
    if (isReady()) {
      attach.resumeWithoutResult(id);
    }
  }

  @Override
  public void requestGauges(String echo) {
    if (isReady()) {
      attach.requestGauges(echo);
    }
  }

  @Override
  public void startHealthCheck(String echo) {
    if (isReady()) {
      attach.startHealthCheck(echo);
    }
  }
}
