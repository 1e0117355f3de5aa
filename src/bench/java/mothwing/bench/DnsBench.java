package mothwing.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import mothwing.dns.zone.DomainName;
import mothwing.dns.zone.History;
import mothwing.dns.zone.Rights;
import mothwing.dns.zone.Update;
import mothwing.dns.zone.Zone;
import mothwing.dns.zone.ZoneFile;
import mothwing.server.DnsService;
import mothwing.store.Disk;
import mothwing.store.Journal;
import mothwing.testing.DnsTestClient;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Type;

/**
 * Compares the DNS server on loopback with reference measurements in the same run: a UDP echo
 * server, forced disk writes, and a server without a reload.
 */
public final class DnsBench {
  private static final int ZONE_RECORDS = 100_000;
  private static final int CLIENTS = 3;

  /** The queries that a client keeps outstanding. */
  private static final int OUTSTANDING_QUERIES = 48;

  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final int RUNS = 5;

  private DnsBench() {}

  public static void main(String[] arguments) throws Exception {
    String benchmark = arguments.length > 0 ? arguments[0] : "all";
    if (benchmark.equals("all") || benchmark.equals("queries")) {
      queries();
    }
    if (benchmark.equals("all") || benchmark.equals("updates")) {
      updates();
    }
    if (benchmark.equals("all") || benchmark.equals("recovery")) {
      recovery();
    }
    if (benchmark.equals("all") || benchmark.equals("reload")) {
      reload();
    }
    System.exit(0);
  }

  private static String zoneFile(int changedRecords) {
    StringBuilder text = new StringBuilder(DnsTestClient.ZONE_HEADER);
    for (int i = 0; i < ZONE_RECORDS; i++) {
      text.append("till")
          .append(i)
          .append(" A 10.")
          .append(i < changedRecords ? 99 : 1)
          .append('.')
          .append(i >> 8 & 255)
          .append('.')
          .append(i & 255)
          .append('\n');
    }
    return text.toString();
  }

  private static DnsService startServer(Path folder, String limits, String zone)
      throws IOException {
    DnsService service =
        new DnsService(DnsTestClient.writeSite(folder, limits, zone, "till-key"), line -> {});
    service.start();
    return service;
  }

  private static Path createFolder() throws IOException {
    Files.createDirectories(Path.of("target"));
    return Files.createTempDirectory(Path.of("target"), "bench");
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }

  private static byte[][] createQuestions() {
    byte[][] questions = new byte[1024][];
    for (int i = 0; i < questions.length; i++) {
      questions[i] = DnsTestClient.question("till" + i * 97 % ZONE_RECORDS, Type.A, 512).toWire();
    }
    return questions;
  }

  /**
   * Starts a server that replies with a fixed number of bytes, on an event loop like the DNS
   * server.
   */
  private static Channel startEcho(NioEventLoopGroup group, int size) throws InterruptedException {
    byte[] answer = new byte[size];
    return new Bootstrap()
        .group(group)
        .channel(NioDatagramChannel.class)
        .option(ChannelOption.SO_RCVBUF, 4 << 20)
        .option(ChannelOption.SO_SNDBUF, 4 << 20)
        .option(
            ChannelOption.RCVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(4096).maxMessagesPerRead(64))
        .handler(
            new SimpleChannelInboundHandler<DatagramPacket>() {
              @Override
              protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                ctx.write(
                    new DatagramPacket(Unpooled.wrappedBuffer(answer.clone()), packet.sender()));
              }

              @Override
              public void channelReadComplete(ChannelHandlerContext ctx) {
                ctx.flush();
              }
            })
        .bind(new InetSocketAddress("127.0.0.1", 0))
        .sync()
        .channel();
  }

  /** Returns the answers per second to clients that keep a fixed number of queries outstanding. */
  private static double answersPerSecond(
      InetSocketAddress server, byte[][] questions, double seconds) throws Exception {
    LongAdder answers = new LongAdder();
    List<Thread> threads = new ArrayList<>();
    long end = System.nanoTime() + (long) (seconds * SECOND_NANOS);
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Thread thread =
          new Thread(
              () -> {
                try (DatagramChannel channel = DatagramChannel.open().connect(server)) {
                  channel.configureBlocking(false);
                  channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 4 << 20);
                  ByteBuffer in = ByteBuffer.allocateDirect(4096);
                  ByteBuffer out = ByteBuffer.allocateDirect(4096);
                  int outstanding = 0;
                  int next = client * 331;
                  long lastAnswerAt = System.nanoTime();
                  long received = 0;
                  while (System.nanoTime() < end) {
                    while (outstanding < OUTSTANDING_QUERIES) {
                      out.clear().put(questions[next++ & 1023]).flip();
                      channel.write(out);
                      outstanding++;
                    }
                    in.clear();
                    while (channel.read(in) > 0) {
                      outstanding--;
                      received++;
                      lastAnswerAt = System.nanoTime();
                      in.clear();
                    }
                    if (System.nanoTime() - lastAnswerAt > SECOND_NANOS / 20) {
                      outstanding = 0; // the datagrams were lost
                      lastAnswerAt = System.nanoTime();
                    }
                  }
                  answers.add(received);
                } catch (IOException failed) {
                  throw new IllegalStateException(failed);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return answers.sum() / seconds;
  }

  private static void queries() throws Exception {
    Path folder = createFolder();
    byte[][] questions = createQuestions();
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    DnsService uncontrolled =
        startServer(
            folder.resolve(Files.createDirectory(folder.resolve("a")).getFileName()),
            ", control = 'off'",
            zoneFile(0));
    DnsService uncached =
        startServer(
            folder.resolve(Files.createDirectory(folder.resolve("b")).getFileName()),
            ", control = 'off', cached = 0",
            zoneFile(0));
    DnsService controlled =
        startServer(
            folder.resolve(Files.createDirectory(folder.resolve("c")).getFileName()),
            "",
            zoneFile(0));
    int size = DnsTestClient.sendUdp(uncontrolled.address(), questions[0], 2000).length;
    Channel echo = startEcho(group, size);
    InetSocketAddress[] servers = {
      (InetSocketAddress) echo.localAddress(),
      uncontrolled.address(),
      uncached.address(),
      controlled.address()
    };
    double[][] rates = new double[servers.length][RUNS];
    for (int run = -1; run < RUNS; run++) {
      for (int i = 0; i < servers.length; i++) {
        double rate = answersPerSecond(servers[i], questions, 2);
        if (run >= 0) {
          rates[i][run] = rate;
        }
      }
    }
    String[] names = {"echo", "control off", "control off, no cache", "control on"};
    for (int i = 0; i < servers.length; i++) {
      double[] ratios = new double[RUNS];
      for (int run = 0; run < RUNS; run++) {
        ratios[run] = rates[i][run] / rates[0][run];
      }
      System.out.println(
          names[i]
              + ": "
              + Spread.of(rates[i].clone())
              + " answers/s, ratio to echo "
              + Spread.of(ratios));
    }
    System.out.println(controlled.counts());
    for (DnsService service : new DnsService[] {uncontrolled, uncached, controlled}) {
      service.close();
    }
    group.shutdownGracefully();
    delete(folder);
  }

  /** Returns the forced writes per second of a plain file. */
  private static double forcedWritesPerSecond(Path folder) throws IOException {
    try (FileChannel file =
        FileChannel.open(
            folder.resolve("forced"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      byte[] record = new byte[300];
      long start = System.nanoTime();
      int count = 0;
      while (System.nanoTime() - start < SECOND_NANOS) {
        file.write(ByteBuffer.wrap(record));
        file.force(true);
        count++;
      }
      return count * (double) SECOND_NANOS / (System.nanoTime() - start);
    }
  }

  /** Returns the accepted updates per second of clients with one connection and one update each. */
  private static double updatesPerSecond(InetSocketAddress server, int updaters, double seconds)
      throws Exception {
    LongAdder accepted = new LongAdder();
    long end = System.nanoTime() + (long) (seconds * SECOND_NANOS);
    List<Thread> threads = new ArrayList<>();
    for (int updater = 0; updater < updaters; updater++) {
      String name = "bench" + updater;
      Thread thread =
          new Thread(
              () -> {
                try (Socket socket = DnsTestClient.connect(server)) {
                  for (int i = 0; System.nanoTime() < end; i++) {
                    socket
                        .getOutputStream()
                        .write(
                            DnsTestClient.framed(
                                DnsTestClient.signed(
                                    DnsTestClient.update(
                                        name + "-" + i / 2 % 64, "10.7.0.1", i % 2 == 0),
                                    DnsTestClient.key("till-key"))));
                    accepted.add(DnsTestClient.readMessage(socket).getRcode() == 0 ? 1 : 0);
                  }
                } catch (IOException failed) {
                  throw new IllegalStateException(failed);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return accepted.sum() / seconds;
  }

  private static void updates() throws Exception {
    Path folder = createFolder();
    DnsService service = startServer(folder, ", repeats = 10000000", DnsTestClient.ZONE_HEADER);
    updatesPerSecond(service.address(), 8, 2);
    double[] forcedWrites = new double[RUNS];
    double[] singleUpdater = new double[RUNS];
    double[] manyUpdaters = new double[RUNS];
    double[] singleRatio = new double[RUNS];
    double[] manyRatio = new double[RUNS];
    for (int run = 0; run < RUNS; run++) {
      forcedWrites[run] = forcedWritesPerSecond(folder);
      singleUpdater[run] = updatesPerSecond(service.address(), 1, 1.5);
      manyUpdaters[run] = updatesPerSecond(service.address(), 64, 1.5);
      singleRatio[run] = singleUpdater[run] / forcedWrites[run];
      manyRatio[run] = manyUpdaters[run] / forcedWrites[run];
    }
    System.out.println(
        "forced writes "
            + Spread.of(forcedWrites)
            + "/s; one updater "
            + Spread.of(singleUpdater)
            + "/s, ratio "
            + Spread.of(singleRatio)
            + "; 64 updaters "
            + Spread.of(manyUpdaters)
            + "/s, ratio "
            + Spread.of(manyRatio));
    service.close();
    delete(folder);
  }

  private static void recovery() throws Exception {
    Path folder = createFolder();
    DomainName origin = DomainName.parse("example.org.", DomainName.ROOT);
    byte[] text = DnsTestClient.ZONE_HEADER.getBytes();
    Zone zone = ZoneFile.read("z", name -> text, origin, 1_000_000).zone();
    Path state = folder.resolve("state").resolve("example.org");
    Journal journal =
        Journal.open(
            Disk.of(state),
            new Journal.Replay() {
              @Override
              public void snapshot(byte[] part) {}

              @Override
              public void record(byte[] record) {}
            },
            line -> {});
    Journal.Snapshot snapshot = journal.snapshot(History.pieces(zone, zone, Map.of()));
    while (snapshot.step()) {
      // writes the next frames of the snapshot
    }
    DomainName key = DomainName.parse("till-key.", DomainName.ROOT);
    Rights rights = new Rights(List.of(new Rights.Grant(key, origin, true, Set.of(Type.A))));
    List<byte[]> batch = new ArrayList<>();
    for (int i = 0; i < 100_000; i++) {
      Update.Outcome outcome =
          new Update(
                  List.of(),
                  List.of(
                      new Update.Line(
                          DomainName.parse("host" + i % 20_000, origin),
                          Type.A,
                          DClass.IN,
                          60,
                          new byte[] {10, (byte) (i >> 16), (byte) (i >> 8), (byte) i})))
              .on(zone, key, rights, 1_000_000);
      zone = outcome.next();
      byte[] mac = ByteBuffer.allocate(32).putInt(i).array();
      batch.add(
          History.update(
              new History.Signature(key, i & 0xffff, mac),
              System.currentTimeMillis() / 1000 + 300,
              outcome.changes()));
      if (batch.size() == 64) {
        journal.append(batch);
        batch.clear();
      }
    }
    journal.append(batch);
    long bytes = journal.size();
    journal.close();
    Spread seconds =
        Spread.of(
            () -> {
              try {
                long start = System.nanoTime();
                DnsService service = startServer(folder, "", DnsTestClient.ZONE_HEADER);
                double elapsed = (System.nanoTime() - start) / (double) SECOND_NANOS;
                service.close();
                return elapsed;
              } catch (IOException failed) {
                throw new IllegalStateException(failed);
              }
            });
    System.out.println(
        "start with 100,000 journalled updates (" + (bytes >> 20) + " MB): " + seconds + " s");
    delete(folder);
  }

  /**
   * Measures the latencies of questions sent at a constant rate, in microseconds from the scheduled
   * time of each question.
   */
  private static Histogram latencies(
      InetSocketAddress server, byte[][] questions, int perSecond, double seconds)
      throws Exception {
    Histogram histogram = new Histogram(10_000_000, 3);
    long[] scheduledAt = new long[65_536];
    try (DatagramChannel channel = DatagramChannel.open().connect(server)) {
      channel.configureBlocking(false);
      ByteBuffer in = ByteBuffer.allocateDirect(4096);
      ByteBuffer out = ByteBuffer.allocateDirect(4096);
      long start = System.nanoTime();
      int total = (int) (perSecond * seconds);
      int sent = 0;
      int received = 0;
      while (received < total
          && System.nanoTime() < start + (long) ((seconds + 2) * SECOND_NANOS)) {
        long at = start + sent * (SECOND_NANOS / perSecond);
        if (sent < total && System.nanoTime() >= at) {
          out.clear().put(questions[sent & 1023]).putShort(0, (short) sent).flip();
          scheduledAt[sent & 0xffff] = at;
          channel.write(out);
          sent++;
        }
        in.clear();
        if (channel.read(in) > 0) {
          histogram.recordValue(
              Math.min(
                  9_999_999, (System.nanoTime() - scheduledAt[in.getShort(0) & 0xffff]) / 1000));
          received++;
        }
      }
      if (received < total) {
        System.out.println("lost " + (total - received) + " of " + total);
      }
    }
    return histogram;
  }

  private static void reload() throws Exception {
    Path folder = createFolder();
    DnsService service = startServer(folder, "", zoneFile(0));
    byte[][] questions = createQuestions();
    latencies(service.address(), questions, 10_000, 3);
    double[] idleP99 = new double[RUNS];
    double[] reloadP99 = new double[RUNS];
    double[] ratio = new double[RUNS];
    double[] idleP999 = new double[RUNS];
    double[] reloadP999 = new double[RUNS];
    double[] idleMedian = new double[RUNS];
    double[] reloadMedian = new double[RUNS];
    for (int run = 0; run < RUNS; run++) {
      Histogram idle = latencies(service.address(), questions, 10_000, 4);
      DnsTestClient.writeZone(folder, zoneFile(1000 * (run + 1)));
      service.reload();
      Histogram reloading = latencies(service.address(), questions, 10_000, 4);
      idleMedian[run] = idle.getValueAtPercentile(50);
      reloadMedian[run] = reloading.getValueAtPercentile(50);
      idleP99[run] = idle.getValueAtPercentile(99);
      reloadP99[run] = reloading.getValueAtPercentile(99);
      idleP999[run] = idle.getValueAtPercentile(99.9);
      reloadP999[run] = reloading.getValueAtPercentile(99.9);
      ratio[run] = reloadP99[run] / idleP99[run];
    }
    System.out.println(
        "us without reload: p50 "
            + Spread.of(idleMedian)
            + ", p99 "
            + Spread.of(idleP99)
            + ", p99.9 "
            + Spread.of(idleP999));
    System.out.println(
        "us during reload of "
            + ZONE_RECORDS
            + " records: p50 "
            + Spread.of(reloadMedian)
            + ", p99 "
            + Spread.of(reloadP99)
            + ", p99.9 "
            + Spread.of(reloadP999)
            + "; p99 ratio "
            + Spread.of(ratio));
    System.out.println(String.format(Locale.ROOT, "%s", service.counts()));
    service.close();
    delete(folder);
  }
}
