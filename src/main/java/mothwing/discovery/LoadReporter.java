package mothwing.discovery;

import java.util.function.BooleanSupplier;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.net.CloseReason;
import mothwing.net.Connector;

/**
 * Keeps this shop server listed: a report every second, over a connection that is opened again when
 * it breaks. A report that gets no answer within its second is left behind with its connection, and
 * the next one leaves on a new one: to wait for the answer would let the entry lapse. So would
 * waiting for a connection that takes long to open: each second another is begun beside it, and the
 * first that is open carries the reports.
 */
public final class LoadReporter {
  static final long PERIOD = 1_000_000;

  /** Most connections that are being opened at once. */
  static final int MOST_DIALS = 3;

  private final String name;
  private final BooleanSupplier accepting;
  private final Scheduler timers;
  private final Counters counters;
  private final EventLog log;
  private Connector dialer;
  private LoadReportConnection link;
  private int address; // counts the addresses it was given
  private int dialing; // to the newest of them
  private boolean stopped;

  /**
   * Makes an announcer that does not report yet.
   *
   * @param dialer opens connections to the announce service
   * @param name this shop server's name
   * @param accepting whether requests are taken
   * @param timers the clocks
   * @param counters counts what happens
   * @param log takes lines of the log
   */
  public LoadReporter(
      Connector dialer,
      String name,
      BooleanSupplier accepting,
      Scheduler timers,
      Counters counters,
      EventLog log) {
    this.dialer = dialer;
    this.name = name;
    this.accepting = accepting;
    this.timers = timers;
    this.counters = counters;
    this.log = log;
  }

  /** Reports now, and every second from now on. */
  public void start() {
    if (!stopped) {
      timers.schedule(timers.now() + PERIOD, this::start);
      report();
    }
  }

  private void report() {
    if (link != null && link.waiting()) {
      counters.add("announce-unanswered");
      leave(CloseReason.NO_ANSWER);
    }
    if (link != null) {
      link.report(accepting.getAsBoolean());
    } else if (dialing < MOST_DIALS) {
      dial();
    }
  }

  private void leave(CloseReason why) {
    if (link != null) {
      link.close(why, "");
      link = null;
    }
  }

  private void dial() {
    dialing++;
    int mine = address;
    dialer.connect(
        () -> new LoadReportConnection(this, mine, name, log, counters),
        () -> {
          counters.add("announce-unreached");
          if (mine == address) {
            dialing--;
          }
        });
  }

  /**
   * The announce service is to be reached elsewhere from now on, and is told so at once.
   *
   * @param elsewhere opens connections to the new address
   */
  public void changeAddress(Connector elsewhere) {
    dialer = elsewhere;
    address++;
    dialing = 0;
    leave(CloseReason.MOVED);
    if (!stopped) {
      dial();
    }
  }

  /** Reports no more: this shop server is taken off the list. */
  public void stop() {
    stopped = true;
    leave(CloseReason.DRAIN);
  }

  /** A connection is open: reports leave on it, unless it comes too late. */
  void opened(LoadReportConnection opened, int to) {
    dialing -= to == address ? 1 : 0;
    if (stopped || to != address || link != null) {
      opened.close(stopped ? CloseReason.DRAIN : CloseReason.MOVED, "");
      return;
    }
    link = opened;
    link.report(accepting.getAsBoolean());
  }

  void ended(LoadReportConnection ended) {
    if (link == ended) {
      link = null;
    }
  }
}
