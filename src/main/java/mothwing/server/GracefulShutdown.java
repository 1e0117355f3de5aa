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
 * The way out of a running server: it stops listening, finds out whether another process takes
 * clients at its address, lets the core answer what was read, closes connections once nothing is
 * open on them, and says when all is done.
 */
final class GracefulShutdown {
  private static final long MILLI = 1000;
  private static final long PERIOD = 20 * MILLI;
  private static final long LAST_MOMENT =
      150 * MILLI; // before the stop, at which the process ends by itself
  private static final long STOOD_STILL =
      5 * PERIOD; // late by so much: it could not read meanwhile
  private static final long TO_READ =
      200 * MILLI; // for what waits in the sockets then, read and answered in some turns
  private static final long TO_CLOSE = 60 * MILLI; // for the other sides' closes in the last moment
  private static final long LONGEST_COUNTED =
      3000 * MILLI; // the kill may come after the longest deadline,
  private static final long KILL_AFTER =
      700 * MILLI; // counted as 3 s where it is longer, and this, whatever was told
  private static final int PROBE_MS =
      100; // a full queue lets an attempt wait; nobody there refuses at once
  private static final int PROBE_AGAIN_MS = 10;
  private static final int MOST_PROBES = 8;

  private final EventLoop loop;
  private final Scheduler timers;
  private final Broker broker;
  private final EventLog log;
  private final Runnable done;
  private List<Listener> listeners;
  private long stopAt;
  private long stepAt;
  private long readUntil = Long.MIN_VALUE;
  private long lastUntil = Long.MAX_VALUE;
  private int open;

  /**
   * Makes one.
   *
   * @param loop the thread of it all
   * @param timers the clocks
   * @param broker answers what was read
   * @param log takes lines of the log
   * @param done called once, when the process may end
   */
  GracefulShutdown(EventLoop loop, Scheduler timers, Broker broker, EventLog log, Runnable done) {
    this.loop = loop;
    this.timers = timers;
    this.broker = broker;
    this.log = log;
    this.done = done;
  }

  /**
   * Begins, on the notice to leave.
   *
   * @param all the listeners of clients
   * @param shared whether another process may listen at the first one's address
   * @param config the configuration in force
   */
  void begin(List<Listener> all, boolean shared, Config config) {
    listeners = List.copyOf(all);
    long noticeAt = timers.now();
    stepAt = noticeAt + PROBE_MS * MILLI;
    open = listeners.size();
    if (open == 0) {
      go(noticeAt, false, config);
      return;
    }
    SocketAddress address = listeners.get(0).address();
    listeners.forEach(
        one ->
            one.stop(
                () -> {
                  if (--open > 0) {
                    return;
                  } else if (shared) {
                    probe(address, noticeAt, config, MOST_PROBES);
                  } else {
                    go(noticeAt, false, config);
                  }
                }));
  }

  /**
   * Whoever accepts a connection at the address that this process has just left takes its clients.
   */
  private void probe(SocketAddress address, long noticeAt, Config config, int tries) {
    new Bootstrap()
        .group(loop)
        .channelFactory(RetryingSocketChannel::new)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PROBE_MS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            tried ->
                loop.execute(
                    () -> probed((ChannelFuture) tried, address, noticeAt, config, tries)));
  }

  /** A socket that could not be made for a moment says nothing of who takes clients. */
  private void probed(
      ChannelFuture tried, SocketAddress address, long noticeAt, Config config, int tries) {
    boolean timedOut = tried.cause() instanceof ConnectTimeoutException;
    boolean refused = tried.cause() instanceof ConnectException && !timedOut;
    boolean unknown = tried.cause() != null && !refused && !timedOut;
    if (tried.isSuccess()) {
      tried.channel().close();
    }
    if (unknown && tries > 1) {
      loop.schedule(
          () -> probe(address, noticeAt, config, tries - 1), PROBE_AGAIN_MS, TimeUnit.MILLISECONDS);
    } else {
      go(noticeAt, !refused && !unknown, config);
    }
  }

  private void go(long noticeAt, boolean handover, Config config) {
    long deadline =
        config.settings().classes().stream().mapToLong(RequestClass::deadline).max().orElse(0);
    long earliestKill = Math.min(deadline, LONGEST_COUNTED) + KILL_AFTER;
    stopAt = noticeAt + Math.min(config.stopMs() * MILLI, earliestKill);
    broker.drain(noticeAt, stopAt, handover);
    step();
  }

  /**
   * The last moment does not come while the sockets hold what was sent as the process stood still.
   */
  private void step() {
    long now = timers.now();
    if (now - stepAt > STOOD_STILL) {
      readUntil = now + TO_READ;
      log.write("stood-still late_ms=" + (now - stepAt) / MILLI);
    }
    stepAt = now + PERIOD;
    boolean last = now >= Math.max(stopAt - LAST_MOMENT, readUntil);
    if (last && lastUntil == Long.MAX_VALUE) {
      lastUntil = now + TO_CLOSE;
      broker.failPending();
    }
    listeners.forEach(one -> one.trim(last ? 0 : PERIOD, CloseReason.DRAIN));
    if (now >= lastUntil
        || (broker.pendingCount() == 0 && listeners.stream().allMatch(one -> one.open() == 0))) {
      log.write("leave owed=" + broker.pendingCount());
      loop.execute(done); // behind what was answered in this turn
    } else {
      timers.schedule(stepAt, this::step);
    }
  }
}
