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
 * The DNS server on loopback against bare limits in the same run: a UDP echo, the disk's forces, a
 * quiet server.
 */
public final class DnsBench {
  private static final int ZONE = 100_000;
  private static final int CLIENTS = 3;
  private static final int WINDOW = 48;
  private static final long SECOND = 1_000_000_000L;
  private static final int RUNS = 5;

  private DnsBench() {}

  public static void main(String[] arguments) throws Exception {
    String what = arguments.length > 0 ? arguments[0] : "all";
    if (what.equals("all") || what.equals("queries")) {
      queries();
    }
    if (what.equals("all") || what.equals("updates")) {
      updates();
    }
    if (what.equals("all") || what.equals("recovery")) {
      recovery();
    }
    if (what.equals("all") || what.equals("reload")) {
      reload();
    }
    System.exit(0);
  }

  private static String zone(int changed) {
    StringBuilder text = new StringBuilder(DnsTestClient.ZONE_HEADER);
    for (int i = 0; i < ZONE; i++) {
      text.append("till")
          .append(i)
          .append(" A 10.")
          .append(i < changed ? 99 : 1)
          .append('.')
          .append(i >> 8 & 255)
          .append('.')
          .append(i & 255)
          .append('\n');
    }
    return text.toString();
  }

  private static DnsService server(Path folder, String limits, String zone) throws IOException {
    DnsService service =
        new DnsService(DnsTestClient.writeSite(folder, limits, zone, "till-key"), line -> {});
    service.start();
    return service;
  }

  private static Path folder() throws IOException {
    Files.createDirectories(Path.of("target"));
    return Files.createTempDirectory(Path.of("target"), "bench");
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(one -> one.toFile().delete());
    }
  }

  private static byte[][] questions() {
    byte[][] all = new byte[1024][];
    for (int i = 0; i < all.length; i++) {
      all[i] = DnsTestClient.question("till" + i * 97 % ZONE, Type.A, 512).toWire();
    }
    return all;
  }

  /** Echoes with an answer of a fixed size, on a loop like the server's. */
  private static Channel echo(NioEventLoopGroup group, int size) throws InterruptedException {
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

  /** Answers a second that clients get who keep windows of questions open. */
  private static double rate(InetSocketAddress server, byte[][] questions, double seconds)
      throws Exception {
    LongAdder answers = new LongAdder();
    List<Thread> threads = new ArrayList<>();
    long end = System.nanoTime() + (long) (seconds * SECOND);
    for (int c = 0; c < CLIENTS; c++) {
      int first = c;
      Thread thread =
          new Thread(
              () -> {
                try (DatagramChannel channel = DatagramChannel.open().connect(server)) {
                  channel.configureBlocking(false);
                  channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 4 << 20);
                  ByteBuffer in = ByteBuffer.allocateDirect(4096);
                  ByteBuffer out = ByteBuffer.allocateDirect(4096);
                  int open = 0;
                  int next = first * 331;
                  long heard = System.nanoTime();
                  long got = 0;
                  while (System.nanoTime() < end) {
                    while (open < WINDOW) {
                      out.clear().put(questions[next++ & 1023]).flip();
                      channel.write(out);
                      open++;
                    }
                    in.clear();
                    while (channel.read(in) > 0) {
                      open--;
                      got++;
                      heard = System.nanoTime();
                      in.clear();
                    }
                    if (System.nanoTime() - heard > SECOND / 20) {
                      open = 0; // what was lost is lost
                      heard = System.nanoTime();
                    }
                  }
                  answers.add(got);
                } catch (IOException broken) {
                  throw new IllegalStateException(broken);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread one : threads) {
      one.join();
    }
    return answers.sum() / seconds;
  }

  private static void queries() throws Exception {
    Path folder = folder();
    byte[][] questions = questions();
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    DnsService bare =
        server(
            folder.resolve(Files.createDirectory(folder.resolve("a")).getFileName()),
            ", control = 'off'",
            zone(0));
    DnsService uncached =
        server(
            folder.resolve(Files.createDirectory(folder.resolve("b")).getFileName()),
            ", control = 'off', cached = 0",
            zone(0));
    DnsService whole =
        server(
            folder.resolve(Files.createDirectory(folder.resolve("c")).getFileName()), "", zone(0));
    int size = DnsTestClient.sendUdp(bare.address(), questions[0], 2000).length;
    Channel echo = echo(group, size);
    InetSocketAddress[] servers = {
      (InetSocketAddress) echo.localAddress(), bare.address(), uncached.address(), whole.address()
    };
    double[][] rates = new double[servers.length][RUNS];
    for (int run = -1; run < RUNS; run++) {
      for (int i = 0; i < servers.length; i++) {
        double rate = rate(servers[i], questions, 2);
        if (run >= 0) {
          rates[i][run] = rate;
        }
      }
    }
    String[] names = {"echo", "control off", "control off, no cache", "control on"};
    for (int i = 0; i < servers.length; i++) {
      double[] shares = new double[RUNS];
      for (int run = 0; run < RUNS; run++) {
        shares[run] = rates[i][run] / rates[0][run];
      }
      System.out.println(
          names[i]
              + ": "
              + Spread.of(rates[i].clone())
              + " answers/s, share of the echo "
              + Spread.of(shares));
    }
    System.out.println(whole.counts());
    for (DnsService one : new DnsService[] {bare, uncached, whole}) {
      one.close();
    }
    group.shutdownGracefully();
    delete(folder);
  }

  private static double forces(Path folder) throws IOException {
    try (FileChannel file =
        FileChannel.open(
            folder.resolve("bare"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      byte[] record = new byte[300];
      long start = System.nanoTime();
      int count = 0;
      while (System.nanoTime() - start < SECOND) {
        file.write(ByteBuffer.wrap(record));
        file.force(true);
        count++;
      }
      return count * (double) SECOND / (System.nanoTime() - start);
    }
  }

  private static double updating(InetSocketAddress server, int updaters, double seconds)
      throws Exception {
    LongAdder accepted = new LongAdder();
    long end = System.nanoTime() + (long) (seconds * SECOND);
    List<Thread> threads = new ArrayList<>();
    for (int u = 0; u < updaters; u++) {
      String name = "bench" + u;
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
                } catch (IOException broken) {
                  throw new IllegalStateException(broken);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread one : threads) {
      one.join();
    }
    return accepted.sum() / seconds;
  }

  private static void updates() throws Exception {
    Path folder = folder();
    DnsService service = server(folder, ", repeats = 10000000", DnsTestClient.ZONE_HEADER);
    updating(service.address(), 8, 2);
    double[] bare = new double[RUNS];
    double[] alone = new double[RUNS];
    double[] many = new double[RUNS];
    double[] aloneShare = new double[RUNS];
    double[] manyShare = new double[RUNS];
    for (int run = 0; run < RUNS; run++) {
      bare[run] = forces(folder);
      alone[run] = updating(service.address(), 1, 1.5);
      many[run] = updating(service.address(), 64, 1.5);
      aloneShare[run] = alone[run] / bare[run];
      manyShare[run] = many[run] / bare[run];
    }
    System.out.println(
        "bare forces "
            + Spread.of(bare)
            + "/s; one updater "
            + Spread.of(alone)
            + "/s, "
            + Spread.of(aloneShare)
            + " of that; 64 updaters "
            + Spread.of(many)
            + "/s, "
            + Spread.of(manyShare));
    service.close();
    delete(folder);
  }

  private static void recovery() throws Exception {
    Path folder = folder();
    DomainName origin = DomainName.parse("example.org.", DomainName.ROOT);
    byte[] text = DnsTestClient.ZONE_HEADER.getBytes();
    Zone zone = ZoneFile.read("z", name -> text, origin, 1_000_000).zone();
    Path state = folder.resolve("state").resolve("example.org");
    Journal journal =
        Journal.open(
            Disk.of(state),
            new Journal.Replay() {
              @Override
              public void snapshot(byte[] piece) {}

              @Override
              public void record(byte[] record) {}
            },
            line -> {});
    Journal.Snapshot snapshot = journal.snapshot(History.pieces(zone, zone, Map.of()));
    while (snapshot.step()) {
      // until it is whole
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
                DnsService service = server(folder, "", DnsTestClient.ZONE_HEADER);
                double took = (System.nanoTime() - start) / (double) SECOND;
                service.close();
                return took;
              } catch (IOException bad) {
                throw new IllegalStateException(bad);
              }
            });
    System.out.println(
        "start with 100,000 journalled updates (" + (bytes >> 20) + " MB): " + seconds + " s");
    delete(folder);
  }

  /**
   * Latencies of questions sent at a steady rate, microseconds from when each was due to be sent.
   */
  private static Histogram latencies(
      InetSocketAddress server, byte[][] questions, int perSecond, double seconds)
      throws Exception {
    Histogram histogram = new Histogram(10_000_000, 3);
    long[] due = new long[65_536];
    try (DatagramChannel channel = DatagramChannel.open().connect(server)) {
      channel.configureBlocking(false);
      ByteBuffer in = ByteBuffer.allocateDirect(4096);
      ByteBuffer out = ByteBuffer.allocateDirect(4096);
      long start = System.nanoTime();
      int total = (int) (perSecond * seconds);
      int sent = 0;
      int got = 0;
      while (got < total && System.nanoTime() < start + (long) ((seconds + 2) * SECOND)) {
        long at = start + sent * (SECOND / perSecond);
        if (sent < total && System.nanoTime() >= at) {
          out.clear().put(questions[sent & 1023]).putShort(0, (short) sent).flip();
          due[sent & 0xffff] = at;
          channel.write(out);
          sent++;
        }
        in.clear();
        if (channel.read(in) > 0) {
          histogram.recordValue(
              Math.min(9_999_999, (System.nanoTime() - due[in.getShort(0) & 0xffff]) / 1000));
          got++;
        }
      }
      if (got < total) {
        System.out.println("lost " + (total - got) + " of " + total);
      }
    }
    return histogram;
  }

  private static void reload() throws Exception {
    Path folder = folder();
    DnsService service = server(folder, "", zone(0));
    byte[][] questions = questions();
    latencies(service.address(), questions, 10_000, 3);
    double[] quiet = new double[RUNS];
    double[] busy = new double[RUNS];
    double[] ratio = new double[RUNS];
    double[] quietTail = new double[RUNS];
    double[] busyTail = new double[RUNS];
    double[] quietMid = new double[RUNS];
    double[] busyMid = new double[RUNS];
    for (int run = 0; run < RUNS; run++) {
      Histogram none = latencies(service.address(), questions, 10_000, 4);
      DnsTestClient.writeZone(folder, zone(1000 * (run + 1)));
      service.reload();
      Histogram reloading = latencies(service.address(), questions, 10_000, 4);
      quietMid[run] = none.getValueAtPercentile(50);
      busyMid[run] = reloading.getValueAtPercentile(50);
      quiet[run] = none.getValueAtPercentile(99);
      busy[run] = reloading.getValueAtPercentile(99);
      quietTail[run] = none.getValueAtPercentile(99.9);
      busyTail[run] = reloading.getValueAtPercentile(99.9);
      ratio[run] = busy[run] / quiet[run];
    }
    System.out.println(
        "us with no reload: p50 "
            + Spread.of(quietMid)
            + ", p99 "
            + Spread.of(quiet)
            + ", p99.9 "
            + Spread.of(quietTail));
    System.out.println(
        "us while "
            + ZONE
            + " records reload: p50 "
            + Spread.of(busyMid)
            + ", p99 "
            + Spread.of(busy)
            + ", p99.9 "
            + Spread.of(busyTail)
            + "; p99 ratio "
            + Spread.of(ratio));
    System.out.println(String.format(Locale.ROOT, "%s", service.counts()));
    service.close();
    delete(folder);
  }
}
