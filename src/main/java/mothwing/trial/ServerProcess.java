package mothwing.trial;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import mothwing.settings.Addresses;

/** A shop server as a process of its own, with an admin address; its log is read line by line. */
public final class ServerProcess implements AutoCloseable {
  /** As it is started in service: the deploy file has the same bounds. */
  static final List<String> OPTIONS =
      List.of(
          "-Xms24m",
          "-Xmx48m",
          "-XX:MaxDirectMemorySize=16m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:ReservedCodeCacheSize=16m",
          "-XX:MaxMetaspaceSize=32m",
          "-XX:-UsePerfData");

  private static final Map<String, String> MALLOC_ARENAS = Map.of("MALLOC_ARENA_MAX", "1");
  private static final int RUN_FACTOR = 16; // memory of a started run for that of a held request
  private static final int ADMIN_TIMEOUT_MS = 1000;
  private static final int MAX_LINES = 20_000;

  /** Occurs in a line for each call of an operator; a stage that polls would fill the log. */
  private static final String ANSWERED_OPERATOR =
      " connection-closed side=management reason=asked ";

  /** Its log so far without answered calls of operators: the first lines, up to a bound. */
  public final List<String> lines = Collections.synchronizedList(new ArrayList<>());

  private final SupervisedProcess process;
  private final InetSocketAddress adminAddress;

  /** Where one server stands; all on loopback addresses. */
  record Place(
      String name,
      InetSocketAddress listen,
      InetSocketAddress adminAddress,
      InetSocketAddress pool,
      InetSocketAddress announce) {}

  /** Starts one for clients at a port, in front of a pool; all its addresses are on loopback. */
  public ServerProcess(Path folder, int port, int adminPort, StandInPool pool) throws IOException {
    this(folder, place(port, adminPort, pool), Trial.Fleet.single(), "mothwing.Main", line -> {});
  }

  /** Starts one with AJP and with a limit on file descriptors, and waits until it is ready. */
  public static ServerProcess withSockets(
      Path folder, int port, int ajpPort, int adminPort, StandInPool pool, int sockets)
      throws IOException {
    String text =
        config(port, adminPort, pool).replaceFirst("\"sockets\":[0-9]+", "\"sockets\":" + sockets);
    Path site =
        Files.writeString(
            folder.resolve("site.star"), "ajp(listen = \"127.0.0.1:" + ajpPort + "\")\n");
    ServerProcess server =
        new ServerProcess(
            Files.writeString(folder.resolve("config-" + adminPort + ".json"), text),
            local(adminPort),
            "mothwing.Main",
            site,
            MALLOC_ARENAS,
            line -> {});
    server.awaitYes();
    return server;
  }

  /** Starts one whose runs may call a tier below. */
  public static ServerProcess calling(
      Path folder, int port, int adminPort, StandInPool pool, InetSocketAddress ledger)
      throws IOException {
    Files.createDirectories(folder);
    String text =
        config(port, adminPort, pool)
            .replaceFirst("\\{", "{\"ledger\":\"" + Addresses.format(ledger) + "\",")
            .replace(
                "\"Extra\":{", "\"Extra\":{\"DependsOn\":\"tier\",\"CallsByClass\":[true,true],");
    return new ServerProcess(
        Files.writeString(folder.resolve("config-" + adminPort + ".json"), text),
        local(adminPort),
        "mothwing.Main",
        null,
        Map.of(),
        line -> {});
  }

  /** Starts one in a folder that is its machine's disk. */
  ServerProcess(Path folder, Place place, Trial.Fleet fleet, String program, Consumer<String> log)
      throws IOException {
    this(folder, place, fleet, program, (Path) null, log);
  }

  /** The same, with a script of our own settings, or null. */
  ServerProcess(
      Path folder, Place place, Trial.Fleet fleet, String program, Path site, Consumer<String> log)
      throws IOException {
    this(written(folder, place, fleet), place.adminAddress(), program, site, Map.of(), log);
  }

  /** The same with further variables in its environment. */
  ServerProcess(
      Path folder,
      Place place,
      Trial.Fleet fleet,
      String program,
      Map<String, String> environment,
      Consumer<String> log)
      throws IOException {
    this(written(folder, place, fleet), place.adminAddress(), program, null, environment, log);
  }

  private static Path written(Path folder, Place place, Trial.Fleet fleet) throws IOException {
    Files.createDirectories(folder);
    return Files.writeString(
        folder.resolve("config-" + place.adminAddress().getPort() + ".json"), config(place, fleet));
  }

  private ServerProcess(
      Path file,
      InetSocketAddress adminAddress,
      String program,
      Path site,
      Map<String, String> environment,
      Consumer<String> log)
      throws IOException {
    this.adminAddress = adminAddress;
    List<String> words = new ArrayList<>(List.of("serve", "--config", file.toString()));
    if (site != null) {
      words.addAll(List.of("--site", site.toString()));
    }
    process =
        new SupervisedProcess(
            SupervisedProcess.java(options(file), program, words.toArray(String[]::new)),
            environment,
            line -> {
              if (lines.size() < MAX_LINES && !line.contains(ANSWERED_OPERATOR)) {
                lines.add(line);
              }
              log.accept(line);
            });
  }

  /** The options of a process whose temporary files lie beside its configuration. */
  private static List<String> options(Path config) {
    List<String> all = new ArrayList<>(OPTIONS);
    all.add("-Djava.io.tmpdir=" + config.toAbsolutePath().getParent());
    return all;
  }

  private static Place place(int port, int adminPort, StandInPool pool) {
    return new Place("n1", local(port), local(adminPort), pool.address(), local(1));
  }

  private static InetSocketAddress local(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** A configuration for clients at a port and operators at another. */
  public static String config(int port, int adminPort, StandInPool pool) {
    return config(place(port, adminPort, pool), Trial.Fleet.single());
  }

  /** A configuration. */
  static String config(Place place, Trial.Fleet fleet) {
    long deadline = fleet.deadlineMs() * 1000;
    return String.format(
        Locale.ROOT,
        ("{'name':'%s','listen':'%s','management':'%s','pool':'%s','announce':'%s',"
                + "'seed':'1','stop_ms':%d,'limits':{'cores':1.0,'memory_mb':%d,'sockets':%d},'settings':{'Round':2000,"
                + "'Classes':[{'Name':'stock-check','Target':%d,'GiveUp':%d,'Worth':1},{'Name':'place-order',"
                + "'Target':%d,'GiveUp':%d,'Worth':10,'Idempotency':'single_shot'}],"
                + "'Tenants':[{'Name':'one','QuotaPerS':1000000}],'Contract':{'AnswerSlack':100000,'DrainGrace':2000000,"
                + "'FallMultiple':8,'Fall':2000000,'ColdFrom':0.3,'WarmAfter':10000000},'Limits':{'RetryAfter':true,'MaxRetryAfter':1000000},"
                + "'Extra':{'Cores':%d,'MemoryKb':%d,'RunMemFactor':%d,'Halt':'%s','Idle':30000000,"
                + "'Gauges':['cpu_busy','runnable','mem_used','sockets'],'Say':'threshold'}}}")
            .replace('\'', '"'),
        place.name(),
        Addresses.format(place.listen()),
        Addresses.format(place.adminAddress()),
        Addresses.format(place.pool()),
        Addresses.format(place.announce()),
        fleet.stopMs(),
        fleet.memoryMb(),
        fleet.sockets(),
        deadline * 2 / 5,
        deadline,
        deadline * 2 / 5,
        deadline,
        fleet.cores(),
        Math.round(fleet.mostRuns() * RUN_FACTOR * Gateway.RESERVE_KB),
        RUN_FACTOR,
        fleet.halting().word());
  }

  /**
   * A port on loopback that stays taken until the socket is closed, and that servers may share
   * meanwhile.
   */
  public static SocketChannel port() throws IOException {
    return port(InetAddress.getLoopbackAddress());
  }

  /** The same at an address. */
  static SocketChannel port(InetAddress at) throws IOException {
    return SocketChannel.open()
        .setOption(StandardSocketOptions.SO_REUSEPORT, true)
        .setOption(StandardSocketOptions.SO_REUSEADDR, true)
        .bind(new InetSocketAddress(at, 0));
  }

  /** The number of such a port. */
  public static int number(SocketChannel port) throws IOException {
    return ((InetSocketAddress) port.getLocalAddress()).getPort();
  }

  /** Makes a call at its admin address. Returns an empty text without an answer within a second. */
  public String call(String line) {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(ADMIN_TIMEOUT_MS);
      socket.connect(adminAddress, ADMIN_TIMEOUT_MS);
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException closed) {
      return "";
    }
  }

  /** Waits until it takes clients. */
  public void awaitYes() {
    while (!call("HEALTH").startsWith("YES")) {
      if (!process.alive()) {
        throw new AssertionError("it ended: " + lines);
      }
      Thread.onSpinWait();
    }
  }

  /** Whether the process runs, or stands still. */
  boolean alive() {
    return process.alive();
  }

  /** The number of its process. */
  public long pid() {
    return process.pid();
  }

  /** Sends it a signal. */
  public void signal(String name) throws IOException {
    process.signal(name);
  }

  /** Kills it outright. */
  void kill() {
    process.kill();
  }

  /** Completes with its exit status. */
  CompletableFuture<Integer> ended() {
    return process.ended();
  }

  /** Tells it to leave: the signal alone. */
  public void leave() throws IOException {
    process.signal("TERM");
  }

  /** Waits for its end, and gives its exit status. */
  public int await() throws InterruptedException {
    return process.await();
  }

  @Override
  public void close() {
    process.close();
  }
}
