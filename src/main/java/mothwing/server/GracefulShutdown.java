package mothwing.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mothwing.broker.Broker;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.control.RequestClass;
import mothwing.net.CloseReason;
import mothwing.net.Listener;
import mothwing.net.RetryingSocketChannel;

/**
 * The graceful shutdown of a running server: stops listening, probes whether another process serves
 * clients at its address, lets the broker answer the requests that were read, closes idle
 * connections, and reports completion. Used on the event loop only.
 */
final class GracefulShutdown {
  private static final long MICROS_PER_MILLI = 1000;
  private static final long STEP_PERIOD_MICROS = 20_000;

  /** Requests that are still pending are failed this long before the stop. */
  private static final long FINAL_PHASE_MICROS = 150_000;

  /**
   * A step that is late by more than this indicates a stall, after which sockets hold unread
   * requests.
   */
  private static final long STALL_MICROS = 5 * STEP_PERIOD_MICROS;

  /** Time after a stall for reading and answering the requests in the sockets. */
  private static final long READ_AFTER_STALL_MICROS = 200_000;

  /** Time in the final phase for the peers to close their connections. */
  private static final long PEER_CLOSE_MICROS = 60_000;

  /**
   * The process may be killed after the longest deadline, capped to this, plus {@link
   * #KILL_GRACE_MICROS}.
   */
  private static final long MAX_DEADLINE_MICROS = 3_000_000;

  private static final long KILL_GRACE_MICROS = 700_000;

  /** A connect hangs if the backlog is full; if no process listens it is refused at once. */
  private static final int PROBE_TIMEOUT_MILLIS = 100;

  private static final int PROBE_RETRY_MILLIS = 10;
  private static final int MAX_PROBES = 8;

  private final EventLoop loop;
  private final Scheduler scheduler;
  private final Broker broker;
  private final EventLog log;
  private final Runnable done;
  private List<Listener> listeners;
  private long stopAt;
  private long nextStepAt;
  private long readUntil = Long.MIN_VALUE;
  private long finalPhaseEndsAt = Long.MAX_VALUE;
  private int listening;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param loop the event loop of the server
   * @param scheduler the clock and timers
   * @param broker the broker that answers the requests that were read
   * @param log the event log
   * @param done called once, when the process may end
   */
  GracefulShutdown(
      EventLoop loop, Scheduler scheduler, Broker broker, EventLog log, Runnable done) {
    this.loop = loop;
    this.scheduler = scheduler;
    this.broker = broker;
    this.log = log;
    this.done = done;
  }

  /**
   * Begins the shutdown.
   *
   * @param clientListeners the listeners of clients
   * @param shared whether another process may listen at the address of the first listener
   * @param config the configuration in force
   */
  void begin(List<Listener> clientListeners, boolean shared, Config config) {
    listeners = List.copyOf(clientListeners);
    long requestedAt = scheduler.now();
    nextStepAt = requestedAt + PROBE_TIMEOUT_MILLIS * MICROS_PER_MILLI;
    listening = listeners.size();
    if (listening == 0) {
      drain(requestedAt, false, config);
      return;
    }
    SocketAddress address = listeners.get(0).address();
    listeners.forEach(
        listener ->
            listener.stop(
                () -> {
                  if (--listening > 0) {
                    return;
                  } else if (shared) {
                    probe(address, requestedAt, config, MAX_PROBES);
                  } else {
                    drain(requestedAt, false, config);
                  }
                }));
  }

  /**
   * Probes whether another process serves the clients: it does if it accepts a connection at the
   * address that this process has just released.
   */
  private void probe(SocketAddress address, long requestedAt, Config config, int attempts) {
    new Bootstrap()
        .group(loop)
        .channelFactory(RetryingSocketChannel::new)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PROBE_TIMEOUT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            connected ->
                loop.execute(
                    () ->
                        probeFinished(
                            (ChannelFuture) connected, address, requestedAt, config, attempts)));
  }

  /**
   * Evaluates a probe. A transient failure to create the socket gives no evidence of another
   * process, so the probe is repeated; after the last attempt it counts as refused.
   */
  private void probeFinished(
      ChannelFuture connected,
      SocketAddress address,
      long requestedAt,
      Config config,
      int attempts) {
    boolean timedOut = connected.cause() instanceof ConnectTimeoutException;
    boolean refused = connected.cause() instanceof ConnectException && !timedOut;
    boolean inconclusive = connected.cause() != null && !refused && !timedOut;
    if (connected.isSuccess()) {
      connected.channel().close();
    }
    if (inconclusive && attempts > 1) {
      loop.schedule(
          () -> probe(address, requestedAt, config, attempts - 1),
          PROBE_RETRY_MILLIS,
          TimeUnit.MILLISECONDS);
    } else {
      drain(requestedAt, !refused && !inconclusive, config);
    }
  }

  private void drain(long requestedAt, boolean handover, Config config) {
    long deadline =
        config.settings().classes().stream().mapToLong(RequestClass::deadline).max().orElse(0);
    long earliestKill = Math.min(deadline, MAX_DEADLINE_MICROS) + KILL_GRACE_MICROS;
    stopAt = requestedAt + Math.min(config.stopMs() * MICROS_PER_MILLI, earliestKill);
    broker.drain(requestedAt, stopAt, handover);
    step();
  }

  /**
   * Runs one step of the shutdown. The final phase does not begin while sockets hold requests that
   * arrived during a stall.
   */
  private void step() {
    long now = scheduler.now();
    if (now - nextStepAt > STALL_MICROS) {
      readUntil = now + READ_AFTER_STALL_MICROS;
      log.write("event-loop-stalled late_ms=" + (now - nextStepAt) / MICROS_PER_MILLI);
    }
    nextStepAt = now + STEP_PERIOD_MICROS;
    boolean finalPhase = now >= Math.max(stopAt - FINAL_PHASE_MICROS, readUntil);
    if (finalPhase && finalPhaseEndsAt == Long.MAX_VALUE) {
      finalPhaseEndsAt = now + PEER_CLOSE_MICROS;
      broker.failPending();
    }
    listeners.forEach(
        listener -> listener.closeExpired(finalPhase ? 0 : STEP_PERIOD_MICROS, CloseReason.DRAIN));
    if (now >= finalPhaseEndsAt
        || (broker.pendingCount() == 0
            && listeners.stream().allMatch(listener -> listener.connectionCount() == 0))) {
      log.write("shutdown-complete pending=" + broker.pendingCount());
      loop.execute(done); // after the answers of this turn
    } else {
      scheduler.schedule(nextStepAt, this::step);
    }
  }
}
