package mothwing.pool;

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
 * The client of the worker pool, which uses one connection at a time. A connection that breaks, or
 * leads to a former address, is replaced by a new one, on which the pool replays the notices after
 * the last one read. The former connection is read until the pool has accepted the new one, so that
 * its last notices are not lost.
 */
public final class WorkerPoolClient implements WorkerPool {
  /**
   * The interval of the checks for a silent connection. A check that is late by a whole interval is
   * taken for a stall of this process and proves no silence.
   */
  private static final long SILENCE_CHECK_MICROS = 250_000;

  /** The silence, while an answer is pending, after which another connection is opened. */
  static final long MAX_SILENCE_MICROS = 2_000_000;

  /** The same before the first resynchronization, as the pool may start after this process. */
  static final long MAX_INITIAL_SILENCE_MICROS = 4_000_000;

  private static final long MAX_SILENCE_BACKOFF_MICROS = 8 * MAX_SILENCE_MICROS;

  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog log;
  private final PoolEvents events;
  private final NoticeSequence sequence;
  private final ReconnectBackoff backoff = new ReconnectBackoff();
  private Connector connector;
  private Broker broker;
  private WorkerPoolConnection connection;
  private WorkerPoolConnection former;

  /** The number of the latest attempt to connect; all earlier attempts are obsolete. */
  private int attempt;

  private boolean connecting;
  private boolean stopped;
  private long maxSilenceMicros = MAX_INITIAL_SILENCE_MICROS;
  private long silenceCheckedAt;

  /**
   * Creates a client that is not connected yet.
   *
   * @param connector opens connections to the pool's address
   * @param scheduler the clock and timers
   * @param counters the counters of events
   * @param log receives the log lines
   */
  public WorkerPoolClient(
      Connector connector, Scheduler scheduler, Counters counters, EventLog log) {
    this.connector = connector;
    this.scheduler = scheduler;
    this.counters = counters;
    this.log = log;
    events = new PoolEvents(counters, log);
    sequence = new NoticeSequence(events);
  }

  /**
   * Opens the first connection.
   *
   * @param owner the broker that receives the pool's notices
   */
  public void attach(Broker owner) {
    broker = owner;
    connect();
    checkSilence();
  }

  /**
   * Opens a second connection if the current one is silent and may be half open. The silent one is
   * closed only when the pool has accepted the second, so that no command or notice of a slow pool
   * is lost. The permitted silence doubles each time, up to a bound, so that attempts to reach a
   * pool that has not started yet become less frequent.
   */
  private void checkSilence() {
    if (stopped) {
      return;
    }
    long now = scheduler.now();
    boolean stalled = now - silenceCheckedAt > 2 * SILENCE_CHECK_MICROS;
    silenceCheckedAt = now;
    scheduler.schedule(now + SILENCE_CHECK_MICROS, this::checkSilence);
    if (connection == null) {
      return;
    }
    connection.retryResynchronization();
    long silentMicros = connection.silentMicros(now);
    if (!stalled && !connecting && silentMicros > maxSilenceMicros) {
      events.connectionSilent(silentMicros);
      maxSilenceMicros = Math.min(MAX_SILENCE_BACKOFF_MICROS, 2 * maxSilenceMicros);
      connect();
    }
  }

  /**
   * Moves to another address of the pool; attempts at the former address are obsolete.
   *
   * @param replacement opens connections to the new address
   */
  public void changeAddress(Connector replacement) {
    connector = replacement;
    backoff.reset();
    if (broker != null) {
      connect();
    }
  }

  private void connect() {
    if (stopped) {
      return;
    }
    connecting = true;
    int current = ++attempt;
    Supplier<Connection> connectionFactory =
        () -> new WorkerPoolConnection(this, current, broker, log, counters);
    connector.connect(connectionFactory, () -> retry(current));
  }

  /** Connects again after the backoff, unless a later attempt has been made by then. */
  private void retry(int failedAttempt) {
    if (failedAttempt != attempt) {
      return;
    }
    connecting = true;
    events.reconnecting();
    scheduler.schedule(
        scheduler.now() + backoff.delayMicros(),
        () -> {
          if (failedAttempt == attempt) {
            connect();
          }
        });
    backoff.increase();
  }

  /**
   * Handles a connection that has opened: it replaces the current one.
   *
   * @return false if a later attempt has been made, so that the connection is to be closed
   */
  boolean opened(WorkerPoolConnection opened, int openedAttempt) {
    if (openedAttempt != attempt) {
      return false;
    }
    connecting = false;
    closeFormer();
    former = connection;
    connection = opened;
    if (former != null) {
      broker.poolDisconnected();
    }
    return true;
  }

  private void closeFormer() {
    if (former != null) {
      former.close(CloseReason.MOVED, "");
      former = null;
    }
  }

  /** Stops the client from opening further connections. */
  public void stop() {
    stopped = true;
  }

  /** The sequence number of the last notice that was processed. */
  long lastNotice() {
    return sequence.lastRead();
  }

  /** Whether the notice of this number is to be processed; a gap may close its connection. */
  boolean accept(WorkerPoolConnection source, long number) {
    NoticeSequence.Decision decision = sequence.accept(number);
    if (decision == NoticeSequence.Decision.RECONNECT) {
      source.close(CloseReason.MISSED, "");
    }
    return decision == NoticeSequence.Decision.PROCESS;
  }

  /** Handles the pool's acceptance of the current connection: the former one is closed. */
  void connectionAccepted() {
    closeFormer();
  }

  /** Records that all missed notices have been read on a new connection. */
  void resynchronized() {
    maxSilenceMicros = MAX_SILENCE_MICROS;
  }

  long now() {
    return scheduler.now();
  }

  /** Handles the end of a connection; if it was in use, another is opened after the backoff. */
  void ended(WorkerPoolConnection ended) {
    if (connection != ended) {
      return;
    }
    connection = null;
    long openMicros = scheduler.now() - ended.openedAt();
    if (ended.isResynchronized()) {
      backoff.connectionEnded(openMicros);
    }
    events.connectionLost(openMicros, ended.isResynchronized(), backoff.delayMicros());
    broker.poolDisconnected();
    if (!connecting) {
      retry(attempt);
    }
  }

  @Override
  public boolean isReady() {
    return connection != null && connection.isReady();
  }

  @Override
  public boolean startRun(Exchange exchange) {
    return isReady() && connection.startRun(exchange);
  }

  @Override
  public void stopRun(String id) {
    if (isReady()) {
      connection.stopRun(id);
    }
  }

  @Override
  public void resumeRun(String id) {
    if (isReady()) {
      connection.resumeRun(id);
    }
  }

  @Override
  public void resumeWithResult(String id, byte[] result) {
    if (isReady()) {
      connection.resumeWithResult(id, result);
    }
  }

  @Override
  public void resumeWithoutResult(String id) {
    if (isReady()) {
      connection.resumeWithoutResult(id);
    }
  }

  @Override
  public void requestGauges(String echo) {
    if (isReady()) {
      connection.requestGauges(echo);
    }
  }

  @Override
  public void startHealthCheck(String echo) {
    if (isReady()) {
      connection.startHealthCheck(echo);
    }
  }
}
