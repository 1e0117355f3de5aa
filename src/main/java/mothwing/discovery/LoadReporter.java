package mothwing.discovery;

import java.util.function.BooleanSupplier;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.net.CloseReason;
import mothwing.net.Connector;

/**
 * Keeps this server on the endpoint list by sending a report every second over a connection that is
 * reopened when it ends. A report without a response after a second is abandoned together with its
 * connection, because the entry on the list would expire before a late response. While no
 * connection is open, another connect attempt starts each second in addition to those in progress,
 * and the first connection to open carries the reports.
 */
public final class LoadReporter {
  static final long REPORT_PERIOD_MICROS = 1_000_000;

  /** The maximum number of connect attempts to the current address in progress at once. */
  static final int MAX_CONNECT_ATTEMPTS = 3;

  private final String name;
  private final BooleanSupplier accepting;
  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog log;
  private Connector connector;
  private LoadReportConnection connection;

  /** Incremented with each change of the address. */
  private int addressVersion;

  /** Connect attempts in progress to the current address. */
  private int connectAttempts;

  private boolean stopped;

  /**
   * Creates a reporter. Reports begin with {@link #start}.
   *
   * @param connector opens connections to the discovery service
   * @param name the name of this server
   * @param accepting whether this server accepts requests
   * @param scheduler the clock and its timers
   * @param counters counts events
   * @param log receives log lines
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

  /** Sends a report now and every second from now on. */
  public void start() {
    if (!stopped) {
      scheduler.schedule(scheduler.now() + REPORT_PERIOD_MICROS, this::start);
      report();
    }
  }

  private void report() {
    if (connection != null && connection.awaitsResponse()) {
      counters.add("load-report-unanswered");
      closeConnection(CloseReason.NO_ANSWER);
    }
    if (connection != null) {
      connection.sendReport(accepting.getAsBoolean());
    } else if (connectAttempts < MAX_CONNECT_ATTEMPTS) {
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
    connectAttempts++;
    int current = addressVersion;
    connector.connect(
        () -> new LoadReportConnection(this, current, name, log, counters),
        () -> {
          counters.add("load-report-unreachable");
          if (current == addressVersion) {
            connectAttempts--;
          }
        });
  }

  /**
   * Changes the address of the discovery service and connects to the new address at once; the first
   * report is sent when the connection opens.
   *
   * @param replacement opens connections to the new address
   */
  public void changeAddress(Connector replacement) {
    connector = replacement;
    addressVersion++;
    connectAttempts = 0;
    closeConnection(CloseReason.MOVED);
    if (!stopped) {
      connect();
    }
  }

  /**
   * Stops the reports and closes the connection. The entry of this server on the endpoint list then
   * expires.
   */
  public void stop() {
    stopped = true;
    closeConnection(CloseReason.DRAIN);
  }

  /** Uses a new connection for the reports, unless it is obsolete or another one is in use. */
  void opened(LoadReportConnection opened, int openedVersion) {
    if (openedVersion == addressVersion) {
      connectAttempts--;
    }
    if (stopped || openedVersion != addressVersion || connection != null) {
      opened.close(stopped ? CloseReason.DRAIN : CloseReason.MOVED, "");
      return;
    }
    connection = opened;
    connection.sendReport(accepting.getAsBoolean());
  }

  /** Forgets a connection that has ended. */
  void ended(LoadReportConnection ended) {
    if (connection == ended) {
      connection = null;
    }
  }
}
