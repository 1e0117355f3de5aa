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
 * Makes the calls of all runs over one connection, which is opened for the first call, and opened
 * again for the next call after it has ended. The connection is retired when the address changes,
 * when it cannot take a call (see {@link DependencyConnection#isUnusableFor}), and when a call has
 * been unanswered in silence for too long, because that call may block all later ones. A retired
 * connection accepts no further call and is closed when its last pending call ends.
 */
public final class DependencyConnectionManager implements DependencyClient {
  /** The number of retired connections from which a silent connection is no longer retired. */
  static final int MAX_RETIRED_CONNECTIONS = 8;

  /** The weight of one answer in the average latency. */
  private static final double LATENCY_SMOOTHING_RATIO = 0.1;

  private static final double SILENCE_TO_LATENCY_RATIO = 4;
  private static final long MIN_SILENCE_MICROS = 100_000;

  private record QueuedCall(long timeoutMillis, byte[] content) {}

  private final Scheduler scheduler;
  private final Counters counters;
  private final EventLog log;

  /** The calls by request id that wait for a connection to open. */
  private final Map<String, QueuedCall> queued = new LinkedHashMap<>();

  private final List<DependencyConnection> retired = new ArrayList<>();
  private Connector connector;
  private Broker broker;
  private DependencyConnection connection;
  private boolean connecting;

  /** The number of the latest attempt to connect; all earlier attempts are obsolete. */
  private int attempt;

  private double averageLatencyMicros = MIN_SILENCE_MICROS;

  /**
   * Creates a client that is not connected.
   *
   * @param connector opens connections to the dependency's address
   * @param scheduler the clock
   * @param counters the counters of events
   * @param log receives the log lines
   */
  public DependencyConnectionManager(
      Connector connector, Scheduler scheduler, Counters counters, EventLog log) {
    this.connector = connector;
    this.scheduler = scheduler;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Registers as the dependency client of a broker.
   *
   * @param owner the broker whose calls are made, and to which their ends are reported
   */
  public void attach(Broker owner) {
    broker = owner;
    owner.setDependencyClient(this);
  }

  /**
   * Moves to another address of the dependency. Pending calls end on the former connection.
   *
   * @param replacement opens connections to the new address
   */
  public void changeAddress(Connector replacement) {
    connector = replacement;
    retireConnection();
    if (connecting) {
      connect();
    }
  }

  @Override
  public boolean startCall(String id, long timeoutMillis, byte[] content) {
    boolean silent = isSilent();
    if (silent || (connection != null && connection.isUnusableFor(id))) {
      counters.add(silent ? "dependency-connections-silent" : "dependency-connections-replaced");
      retireConnection();
    }
    if (connection != null) {
      connection.call(id, timeoutMillis, content);
      return true;
    }
    queued.put(id, new QueuedCall(timeoutMillis, content));
    if (!connecting) {
      connect();
    }
    return true;
  }

  private boolean isSilent() {
    if (connection == null || retired.size() >= MAX_RETIRED_CONNECTIONS) {
      return false;
    }
    double maxSilenceMicros =
        Math.max(MIN_SILENCE_MICROS, SILENCE_TO_LATENCY_RATIO * averageLatencyMicros);
    return connection.silentMicros(scheduler.now()) > maxSilenceMicros;
  }

  @Override
  public void abandonCall(String id) {
    if (queued.remove(id) != null) {
      return;
    }
    if (connection != null) {
      connection.abandon(id);
    }
    List.copyOf(retired).forEach(former -> former.abandon(id));
  }

  private void retireConnection() {
    if (connection != null) {
      DependencyConnection former = connection;
      connection = null;
      retired.add(former);
      former.retire();
    }
  }

  long now() {
    return scheduler.now();
  }

  private void connect() {
    connecting = true;
    int current = ++attempt;
    Supplier<Connection> connectionFactory =
        () -> new DependencyConnection(this, current, log, counters);
    connector.connect(connectionFactory, () -> connectFailed(current));
  }

  private void connectFailed(int failedAttempt) {
    if (failedAttempt != attempt) {
      return;
    }
    connecting = false;
    List<String> unreached = new ArrayList<>(queued.keySet());
    queued.clear();
    unreached.forEach(id -> broker.callEnded(id, RunOutcome.UNREACHABLE, null));
  }

  /** Handles a connection that has opened; it is closed if a later attempt has been made. */
  void opened(DependencyConnection opened, int openedAttempt) {
    if (openedAttempt != attempt) {
      opened.close(CloseReason.MOVED, "");
      return;
    }
    connecting = false;
    connection = opened;
    queued.forEach((id, call) -> opened.call(id, call.timeoutMillis(), call.content()));
    queued.clear();
  }

  /** Handles the answer to a pending call. */
  void callEnded(DependencyProtocol.Answer answer, long latencyMicros) {
    averageLatencyMicros += (latencyMicros - averageLatencyMicros) * LATENCY_SMOOTHING_RATIO;
    broker.callEnded(answer.requestId(), answer.outcome(), answer.result());
  }

  /** Handles the end of a connection on which these calls were pending. */
  void ended(DependencyConnection ended, List<String> pendingCalls) {
    if (connection == ended) {
      connection = null;
    }
    retired.remove(ended);
    pendingCalls.forEach(id -> broker.callEnded(id, RunOutcome.CONNECTION_LOST, null));
  }
}
