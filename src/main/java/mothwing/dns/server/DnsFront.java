package mothwing.dns.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import mothwing.broker.Broker;
import mothwing.broker.Counters;
import mothwing.broker.EventLog;
import mothwing.broker.Scheduler;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.Rights;
import mothwing.net.CloseReason;
import mothwing.net.ConnectionMemory;
import mothwing.net.Listener;
import mothwing.overload.OverloadController;
import mothwing.settings.InvalidInputException;
import mothwing.settings.Site;
import mothwing.store.Disk;
import org.xbill.DNS.Type;

/**
 * The DNS server: its zones, its broker with the controller, and its two ways in, all on one event
 * loop.
 */
public final class DnsFront {
  private static final long MICROS = 1000;
  private static final long AGE = 3600L * 1000 * MICROS; // of the engine, which is never cold
  private static final int RECEIVE_BUFFER = 4 << 20;
  private static final int MOST_DATAGRAM = 4096;
  private static final int READS = 64; // datagrams in one turn of the loop
  private static final int LATER_MS = 100;
  private static final int SECOND_MS = 1000;

  private final Site.Dns site;
  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final Scheduler timers;
  private final Executor writer;
  private final Executor reader;
  private final Counters counters;
  private final EventLog log;
  private final DnsEngine engine;
  private final Broker broker;
  private static final long TCP_PATIENCE =
      2_000_000; // microseconds: a question is not half sent for longer

  private final Listener tcp;
  private Channel udp;

  /**
   * Wires a server that does not listen yet.
   *
   * @param site its settings
   * @param loop the thread that owns it
   * @param allocator gives buffers
   * @param timers the clocks
   * @param writer the one helper thread that writes
   * @param reader the one helper thread that reads files
   * @param counters counts what happens
   * @param log takes lines of the log
   */
  public DnsFront(
      Site.Dns site,
      EventLoop loop,
      ByteBufAllocator allocator,
      Scheduler timers,
      Executor writer,
      Executor reader,
      Counters counters,
      EventLog log) {
    this.site = site;
    this.loop = loop;
    this.allocator = allocator;
    this.timers = timers;
    this.writer = writer;
    this.reader = reader;
    this.counters = counters;
    this.log = log;
    Site.DnsLimits limits = site.limits();
    engine = new DnsEngine(loop, timers, limits, this::connections, counters, log);
    broker =
        new Broker(
            DnsDecisions.settings(timers.wallClockMillis()),
            OverloadController::new,
            engine,
            timers,
            counters,
            log);
    engine.broker(broker);
    tcp =
        new Listener(
            "dns-tcp",
            () -> new DnsTcp(engine, limits.pipelinedQueries(), log, counters),
            limits.connections(),
            TCP_PATIENCE,
            timers,
            counters);
    tcp.setMemory(new ConnectionMemory(ConnectionMemory.defaultLimitBytes(), counters));
  }

  private int connections() {
    return tcp.connectionCount();
  }

  private static DomainName name(String text) throws InvalidInputException {
    try {
      return DomainName.parse(text + ".", DomainName.ROOT);
    } catch (DomainName.Bad bad) {
      throw new InvalidInputException(bad.getMessage());
    }
  }

  /** The rights of a zone, with names and types as numbers. */
  private static Rights rights(Site.Zone zone) throws InvalidInputException {
    List<Rights.Grant> grants = new ArrayList<>();
    for (Site.Right one : zone.rights()) {
      Set<Integer> types = new HashSet<>();
      for (String type : one.types()) {
        if (Type.value(type) < 0) {
          throw new InvalidInputException("zone " + zone.name() + ": unknown type " + type);
        }
        types.add(Type.value(type));
      }
      boolean below = one.names().startsWith("*.");
      grants.add(
          new Rights.Grant(
              name(one.key()), name(below ? one.names().substring(2) : one.names()), below, types));
    }
    return new Rights(List.copyOf(grants));
  }

  /** Reads a zone and its state; blocks. */
  private ZoneKeeper open(Site.Zone zone) throws IOException {
    ZoneKeeper keeper =
        new ZoneKeeper(
            name(zone.name()),
            zone,
            rights(zone),
            site.limits(),
            reader,
            loop,
            work -> loop.schedule(work, LATER_MS, TimeUnit.MILLISECONDS),
            counters,
            log);
    Path folder = site.state().resolve(zone.name().replace('/', '_'));
    keeper.open(Disk.of(folder), writer, timers.wallClockMillis() / SECOND_MS);
    return keeper;
  }

  /**
   * Reads keys and zones, which blocks, and listens.
   *
   * @throws IOException where that fails
   */
  public void start() throws IOException {
    engine.signer(new Signer(site));
    for (Site.Zone zone : site.zones()) {
      engine.add(open(zone));
    }
    loop.submit(() -> broker.poolConnected(false, AGE)).awaitUninterruptibly();
    bound(tcp.listen(loop, allocator, site.listen()));
    InetSocketAddress address =
        new InetSocketAddress(site.listen().getAddress(), tcp.address().getPort());
    ChannelFuture listening =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
            .option(ChannelOption.SO_SNDBUF, RECEIVE_BUFFER)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MOST_DATAGRAM).maxMessagesPerRead(READS))
            .handler(
                new DnsUdp(
                    engine,
                    new RateLimit(site.limits().responsesPerSecond(), site.limits().prefixes()),
                    timers,
                    counters,
                    log))
            .bind(address);
    bound(listening);
    udp = listening.channel();
    trim();
    log.write("dns-ready listen=" + address + " zones=" + engine.zones().size());
  }

  private void bound(Future<?> listening) throws IOException {
    if (!listening.awaitUninterruptibly().isSuccess()) {
      throw new IOException(
          "cannot listen on " + site.listen() + ": " + listening.cause().getMessage());
    }
  }

  private void trim() {
    loop.schedule(this::trim, LATER_MS, TimeUnit.MILLISECONDS);
    loop.execute(() -> tcp.closeExpired(site.limits().idleMs() * MICROS, CloseReason.IDLE));
  }

  /**
   * Takes new settings: keys and rights at once, zones as their files have been read. What it
   * listens on and its bounds need a new start. Belongs to the reading thread.
   *
   * @param now the new settings
   * @throws IOException where they cannot be taken; then nothing has changed
   */
  public void reload(Site.Dns now) throws IOException {
    Signer signer = new Signer(now);
    Map<DomainName, Site.Zone> wanted = new LinkedHashMap<>();
    Map<DomainName, Rights> granted = new LinkedHashMap<>();
    for (Site.Zone zone : now.zones()) {
      wanted.put(name(zone.name()), zone);
      granted.put(name(zone.name()), rights(zone));
    }
    Set<DomainName> known =
        loop.submit(
                () -> {
                  Set<DomainName> all = new HashSet<>();
                  engine.zones().forEach(one -> all.add(one.origin()));
                  return all;
                })
            .syncUninterruptibly()
            .getNow();
    List<ZoneKeeper> fresh = new ArrayList<>();
    for (Map.Entry<DomainName, Site.Zone> one : wanted.entrySet()) {
      if (!known.contains(one.getKey())) {
        fresh.add(open(one.getValue()));
      }
    }
    loop.execute(
        () -> {
          engine.signer(signer);
          fresh.forEach(engine::add);
          wanted.forEach(
              (origin, zone) -> {
                ZoneKeeper keeper = engine.zone(origin);
                keeper.settings(zone, granted.get(origin));
                if (known.contains(origin)) {
                  keeper.reload();
                }
              });
          for (DomainName one : known) {
            if (!wanted.containsKey(one)) {
              ZoneKeeper left = engine.zone(one);
              engine.remove(one);
              left.close(() -> log.write("zone-closed zone=" + one));
            }
          }
          boolean restart =
              !now.listen().equals(site.listen())
                  || !now.limits().equals(site.limits())
                  || !now.state().equals(site.state());
          log.write(
              "dns-reload zones="
                  + now.zones().size()
                  + " keys="
                  + now.keys().size()
                  + (restart ? " needs-restart=dns" : ""));
        });
  }

  /**
   * Where it listens.
   *
   * @return the address, with the port that was given
   */
  public InetSocketAddress address() {
    return tcp.address();
  }

  /**
   * The notice to leave: nothing more is read over UDP, no connection is accepted. Belongs to the
   * loop.
   *
   * @param stopMs milliseconds until the process ends
   */
  public void drain(long stopMs) {
    broker.drain(timers.now(), timers.now() + stopMs * MICROS, false);
    udp.config().setAutoRead(false);
    tcp.stop(() -> {});
  }

  /**
   * Closes connections with nothing open, and says whether all that was read is answered and all
   * that was accepted is forced. Belongs to the loop.
   *
   * @param last whether there is no time left
   * @return true if so
   */
  public boolean drained(boolean last) {
    tcp.closeExpired(last ? 0 : LATER_MS * MICROS, CloseReason.DRAIN);
    return broker.pendingCount() == 0
        && tcp.connectionCount() == 0
        && engine.zones().stream().noneMatch(ZoneKeeper::busy);
  }

  /**
   * Closes the zones. Belongs to the loop.
   *
   * @param closed is told once all is on the disk
   */
  public void close(Runnable closed) {
    udp.close();
    int[] left = {engine.zones().size()};
    engine
        .zones()
        .forEach(
            one ->
                one.close(
                    () -> {
                      if (--left[0] == 0) {
                        closed.run();
                      }
                    }));
  }

  /**
   * The counts so far. Belongs to the loop.
   *
   * @return one line of words
   */
  public String counts() {
    return broker.counts();
  }
}
