package mothwing.discovery;

import java.util.function.BooleanSupplier;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.net.CloseReason;
import mothwing.net.Connector;

/**
 * Keeps this server on the endpoint list by a report every second, over a connection that is opened
 * again when it ends. A report without a response after a second is abandoned with its connection,
 * as the entry on the list would expire before a late response. While no connection is open,
 * another attempt starts each second beside those in progress, and the first to open carries the
 * reports.
 */
public final class LoadReporter {
  static final long PERIOD_MICROS = 1_000_000;

  /** Bounds the attempts to connect that are in progress at once. */
  static final int MAX_ATTEMPTS = 3;

  private final String name;
  private final BooleanSupplier accepting;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog log;
  private Connector connector;
  private LoadReportConnection connection;
  private int addressVersion; // grows with each change of the address
  private int attempts; // in progress, to the current address
  private boolean stopped;

  /**
   * Makes a reporter that does not report yet.
   *
   * @param connector opens connections to the discovery service
   * @param name this server's name
   * @param accepting whether requests are taken
   * @param scheduler the clock and its timers
   * @param counters counts events
   * @param log takes lines of the log
   */
  public LoadReporter(
      Connector connector,
      String name,
      BooleanSupplier accepting,
      Scheduler scheduler,
      Counters counters,
      EventLog log) {
    this.connector = connector;
    this.name = name;
    this.accepting = accepting;
    this.scheduler = scheduler;
    this.counters = counters;
    this.log = log;
  }

  /** Reports now, and every second from now on. */
  public void start() {
    if (!stopped) {
      scheduler.schedule(scheduler.now() + PERIOD_MICROS, this::start);
      report();
    }
  }

  private void report() {
    if (connection != null && connection.awaitsResponse()) {
      counters.add("load-report-unanswered");
      closeConnection(CloseReason.NO_ANSWER);
    }
    if (connection != null) {
      connection.report(accepting.getAsBoolean());
    } else if (attempts < MAX_ATTEMPTS) {
      connect();
    }
  }

  private void closeConnection(CloseReason reason) {
    if (connection != null) {
      connection.close(reason, "");
      connection = null;
    }
  }

  private void connect() {
    attempts++;
    int current = addressVersion;
    connector.connect(
        () -> new LoadReportConnection(this, current, name, log, counters),
        () -> {
          counters.add("load-report-unreachable");
          if (current == addressVersion) {
            attempts--;
          }
        });
  }

  /**
   * Moves to another address of the discovery service, and reports there at once.
   *
   * @param replacement opens connections to the new address
   */
  public void changeAddress(Connector replacement) {
    connector = replacement;
    addressVersion++;
    attempts = 0;
    closeConnection(CloseReason.MOVED);
    if (!stopped) {
      connect();
    }
  }

  /** Stops the reports, which takes this server off the endpoint list. */
  public void stop() {
    stopped = true;
    closeConnection(CloseReason.DRAIN);
  }

  /** A connection is open: it carries the reports, unless it is obsolete or another one does. */
  void opened(LoadReportConnection opened, int openedVersion) {
    if (openedVersion == addressVersion) {
      attempts--;
    }
    if (stopped || openedVersion != addressVersion || connection != null) {
      opened.close(stopped ? CloseReason.DRAIN : CloseReason.MOVED, "");
      return;
    }
    connection = opened;
    connection.report(accepting.getAsBoolean());
  }

  void ended(LoadReportConnection ended) {
    if (connection == ended) {
      connection = null;
    }
  }
}
