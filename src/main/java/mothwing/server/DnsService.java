package mothwing.server;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.dns.server.DnsFront;
import mothwing.settings.InvalidInputException;
import mothwing.settings.Site;
import mothwing.settings.SiteScript;

/**
 * The DNS server process, with its event loop, two worker threads, reload and graceful shutdown.
 */
public final class DnsService implements Service {
  private static final long STOP_AFTER_MILLIS = 5000;
  private static final int SHUTDOWN_POLL_MILLIS = 20;

  private final Path siteScript;
  private final EventLog log;
  private final OwnerThreads threads = new OwnerThreads("event-loop", this::ownerThreadEnded);
  private final NioEventLoopGroup group = new NioEventLoopGroup(1, threads);
  private final EventLoop loop = group.next();
  private final EventLoopScheduler timers = new EventLoopScheduler(loop);
  private final ExecutorService writer = daemonExecutor("dns-write");
  private final ExecutorService reader = daemonExecutor("dns-read");
  private final CountDownLatch ended = new CountDownLatch(1);
  private final DnsFront front;
  private volatile boolean failed;
  private boolean draining;
  private long stopAt;

  /**
   * Creates a server that is not started yet.
   *
   * @param siteScript the site script
   * @param log the event log
   * @throws IOException if the script cannot be read or configures no DNS server
   */
  public DnsService(Path siteScript, EventLog log) throws IOException {
    this.siteScript = siteScript;
    this.log = log;
    front =
        new DnsFront(
            dns(siteScript),
            loop,
            PooledByteBufAllocator.DEFAULT,
            timers,
            writer,
            reader,
            new Counters(),
            log);
  }

  private void ownerThreadEnded(String cause) {
    failed = true;
    log.write("owner-thread-ended what=\"" + cause + "\"");
    ended.countDown();
  }

  @Override
  public boolean hasFailed() {
    return failed;
  }

  private static Site.Dns dns(Path siteScript) throws IOException {
    Site.Dns dns = SiteScript.read(siteScript).dns();
    if (dns == null) {
      throw new InvalidInputException(siteScript + ": dns(listen = ...) is missing");
    }
    return dns;
  }

  private static ExecutorService daemonExecutor(String name) {
    return Executors.newSingleThreadExecutor(
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }

  /**
   * Reads keys and zones, and starts to listen.
   *
   * @throws IOException if keys or zones cannot be read or the address cannot be bound
   */
  public void start() throws IOException {
    front.start();
  }

  /**
   * Rereads the site script, keys and zone files. May be called from any thread. Settings, keys and
   * zones that cannot be read remain as they are.
   */
  public void reload() {
    reader.execute(
        () -> {
          try {
            front.reload(dns(siteScript));
          } catch (IOException | RuntimeException failure) {
            log.write("reload-failed what=\"" + failure.getMessage() + "\"");
          }
        });
  }

  /**
   * Returns the bound address.
   *
   * @return the address, with the assigned port
   */
  public InetSocketAddress address() {
    return front.address();
  }

  @Override
  public void drain() {
    loop.execute(
        () -> {
          if (!draining) {
            draining = true;
            stopAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_AFTER_MILLIS);
            front.drain(STOP_AFTER_MILLIS);
            finishShutdown();
          }
        });
  }

  private void finishShutdown() {
    boolean timedOut = System.nanoTime() >= stopAt;
    if (front.drained(timedOut) || timedOut) {
      log.write("shutdown-complete");
      front.close(ended::countDown);
    } else {
      loop.schedule(this::finishShutdown, SHUTDOWN_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void await() throws InterruptedException {
    ended.await();
  }

  @Override
  public String counts() {
    try {
      return "counts " + loop.submit(front::counts).get(1, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException unavailable) {
      return "counts unknown";
    }
  }

  /** Stops the threads without waiting for work in progress. */
  public void close() {
    writer.shutdownNow();
    reader.shutdownNow();
    threads.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
