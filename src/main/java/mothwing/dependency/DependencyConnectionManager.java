package mothwing.dependency;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.DependencyClient;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.control.RunOutcome;
import mothwing.net.CloseReason;
import mothwing.net.Connection;
import mothwing.net.Connector;

/**
 * The tier below, over one link that carries all calls. It is opened for the first call, and again
 * for the next one after it ended. A request that calls again while an answer to an earlier call of
 * its own may still be on the link gets a new link, and so do all once the link has been silent for
 * too long behind a call: a call that is never answered would hold up those behind it for good. The
 * old link takes no further calls and is closed once the last of its own is over.
 */
public final class DependencyConnectionManager implements DependencyClient {
  /** Most links that are left with calls out; over it the newest one takes calls, silent or not. */
  static final int MOST_LEFT = 8;

  private static final double LEARN = 0.1; // weight of one answer in the time that an answer takes
  private static final double SILENT = 4; // times that, behind a call, after which a link is left
  private static final long SILENT_LEAST = 100_000; // microseconds, for the same

  private record PendingCall(long limitMs, byte[] content) {}

  private final Scheduler timers;
  private final Counters counters;
  private final EventLog log;
  private final Map<String, PendingCall> waiting = new LinkedHashMap<>();
  private Connector dialer;
  private Broker broker;
  private DependencyConnection link;
  private boolean dialing;
  private int dials;
  private final List<DependencyConnection> left = new ArrayList<>(); // with calls out
  private double took = SILENT_LEAST;

  /**
   * Makes one that is not linked.
   *
   * @param dialer opens links to its address
   * @param timers the clock
   * @param counters counts what happens
   * @param log takes lines of the log
   */
  public DependencyConnectionManager(
      Connector dialer, Scheduler timers, Counters counters, EventLog log) {
    this.dialer = dialer;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Makes calls for this broker.
   *
   * @param to takes how they end
   */
  public void attach(Broker to) {
    broker = to;
    to.setDependencyClient(this);
  }

  /**
   * It is reached elsewhere from now on. Calls that are out end where they are.
   *
   * @param elsewhere opens links to the new address
   */
  public void changeAddress(Connector elsewhere) {
    dialer = elsewhere;
    retire();
    if (dialing) {
      dial();
    }
  }

  @Override
  public boolean startCall(String id, long limitMs, byte[] content) {
    boolean silent =
        link != null
            && left.size() < MOST_LEFT
            && link.silentFor(timers.now()) > Math.max(SILENT_LEAST, SILENT * took);
    if (silent || (link != null && link.mayStillAnswer(id))) {
      counters.add(silent ? "ledger-silent-link" : "ledger-new-link");
      retire();
    }
    if (link != null) {
      link.post(id, limitMs, content);
      return true;
    }
    waiting.put(id, new PendingCall(limitMs, content));
    if (!dialing) {
      dial();
    }
    return true;
  }

  @Override
  public void abandonCall(String id) {
    if (waiting.remove(id) != null) {
      return;
    }
    if (link != null) {
      link.abandon(id);
    }
    List.copyOf(left).forEach(one -> one.abandon(id));
  }

  private void retire() {
    if (link != null) {
      DependencyConnection former = link;
      link = null;
      left.add(former);
      former.retire();
    }
  }

  long now() {
    return timers.now();
  }

  private void dial() {
    dialing = true;
    int mine = ++dials;
    Supplier<Connection> maker = () -> new DependencyConnection(this, mine, log, counters);
    dialer.connect(maker, () -> failed(mine));
  }

  private void failed(int dial) {
    if (dial != dials) {
      return;
    }
    dialing = false;
    List<String> all = new ArrayList<>(waiting.keySet());
    waiting.clear();
    all.forEach(id -> broker.callEnded(id, RunOutcome.UNREACHABLE, null));
  }

  /** A link is open; one of a dial that a later one has overtaken is not wanted. */
  void opened(DependencyConnection opened, int dial) {
    if (dial != dials) {
      opened.close(CloseReason.MOVED, "");
      return;
    }
    dialing = false;
    link = opened;
    waiting.forEach((id, asked) -> opened.post(id, asked.limitMs(), asked.content()));
    waiting.clear();
  }

  void over(String id, RunOutcome outcome, byte[] result, long span) {
    took += (span - took) * LEARN;
    broker.callEnded(id, outcome, result);
  }

  /** A link has ended, with these calls out on it. */
  void ended(DependencyConnection which, List<String> out) {
    if (link == which) {
      link = null;
    }
    left.remove(which);
    out.forEach(id -> broker.callEnded(id, RunOutcome.CONNECTION_LOST, null));
  }
}
