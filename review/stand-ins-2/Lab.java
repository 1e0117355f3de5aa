import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The platform of one case: a folder for its files, the record, the processes under test, and
 * stand-ins for worker pool, announce service and gateways on loopback addresses.
 */
final class Lab implements Closeable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** A request as a gateway wrote it, and what became of it. Times are Unix milliseconds. */
  static final class Request {
    String id;
    String requestClass;
    String key;
    String project = "north-stalls";
    byte[] body;
    long acceptedAt;
    long maxWaitMs = -1;
    volatile long writtenAt;
    volatile long answeredAt;
    volatile int status;
    volatile byte[] content;
    volatile boolean connectionEnded;
    volatile boolean aborted;
    volatile boolean wasReset;
    volatile int answers;
    final AtomicLong runs = new AtomicLong();
    double reserveKb = 24.5;
    volatile long runStartedAt;
    volatile long runEndedAt;

    boolean isOver() {
      return answeredAt > 0 || connectionEnded || aborted;
    }
  }

  final Path folder;
  final Path root;
  final boolean trouble;
  final Path temporary;
  private final PrintWriter record;
  private final long startedAt = System.currentTimeMillis();
  private final List<Node> nodes = new CopyOnWriteArrayList<>();
  private final List<Closeable> open = new CopyOnWriteArrayList<>();
  final Map<String, Request> requests = new ConcurrentHashMap<>();
  final ScheduledExecutorService clock =
      Executors.newScheduledThreadPool(
          4,
          work -> {
            Thread thread = new Thread(work, "lab-clock");
            thread.setDaemon(true);
            return thread;
          });
  private long ids = System.nanoTime() & 0xffffffL;

  /** A case in its folder; trouble is 0 for a play without the disruption, else 1. */
  Lab(String folder, String trouble) throws IOException {
    this.folder = Path.of(folder).toAbsolutePath();
    root = this.folder.getParent().getParent();
    this.trouble = !trouble.equals("0");
    temporary = Files.createTempDirectory("review-case-");
    record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
    note("trouble=" + (this.trouble ? 1 : 0));
  }

  long now() {
    return System.currentTimeMillis();
  }

  synchronized void note(String line) {
    record.println((now() - startedAt) + " ms  " + line);
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Ends the case with its verdict; everything that it started is ended first. */
  int verdict(int code, String why) {
    note((code == BROKEN ? "BROKEN: " : code == HELD ? "held: " : "not run: ") + why);
    System.out.println((code == BROKEN ? "BROKEN: " : code == HELD ? "held: " : "not run: ") + why);
    return code;
  }

  @Override
  public void close() {
    nodes.forEach(Node::kill);
    for (Closeable one : open) {
      try {
        one.close();
      } catch (IOException e) {
        // it is closed already
      }
    }
    clock.shutdownNow();
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      note("left behind: " + temporary);
    }
    record.close();
  }

  <T extends Closeable> T keep(T one) {
    open.add(one);
    return one;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  static String address(int port) {
    return "127.0.0.1:" + port;
  }

  synchronized String newId() {
    return String.format("%016x", 0x5a00000000000000L + (++ids));
  }

  // ---------------------------------------------------------------- settings

  /** One class of the settings. */
  static String requestClass(
      String name, String idempotency, long targetMs, long giveUpMs, double worth, long spanMs) {
    return "{\"GiveUp\":" + giveUpMs * 1000 + ",\"Idempotency\":\"" + idempotency
        + "\",\"LateValue\":0.0,\"MemorySpan\":" + spanMs * 1000 + ",\"Name\":\"" + name
        + "\",\"Target\":" + targetMs * 1000 + ",\"Worth\":" + worth + "}";
  }

  /** The settings of a small deployment. */
  static String settings(String halt, String... classes) {
    String noCalls = "false,".repeat(classes.length).replaceAll(",$", "");
    return settingsOf(halt, "silent", noCalls, "0.0,".repeat(classes.length).replaceAll(",$", ""),
        classes);
  }

  static String settingsOf(
      String halt, String dependsOn, String calls, String degraded, String... classes) {
    return "{\"Azs\":[\"quay\",\"hill\"],\"Classes\":[" + String.join(",", classes) + "],"
        + "\"ClientHabits\":{\"MarksRetry\":true},"
        + "\"Contract\":{\"AnswerSlack\":100000,\"ColdFrom\":0.26,\"DrainGrace\":2000000,"
        + "\"Fall\":2000000,\"FallMultiple\":8.0,\"WarmAfter\":18000000},"
        + "\"Costs\":{\"Connection\":0.0,\"Handshake\":0.03,\"LateFail\":0.07,\"Origin\":0.0,"
        + "\"Waste\":0.06},\"CountedBy\":\"request\",\"DomainType\":\"server\","
        + "\"Extra\":{\"Callers\":3,\"CallsByClass\":[" + calls + "],"
        + "\"CallsOut\":" + (dependsOn.equals("silent") ? "0.0" : "20.0") + ",\"Cold\":false,"
        + "\"Cores\":6,\"DegradedWorth\":[" + degraded + "],"
        + "\"DepWindow\":5000000,\"DependsOn\":\"" + dependsOn + "\",\"EntryKb\":40.0,"
        + "\"Fresh\":0,"
        + "\"FullChecks\":true,\"Gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],"
        + "\"Halt\":\"" + halt + "\",\"HeardFor\":1000000,\"Idle\":30000000,\"Linger\":200000,"
        + "\"MemoryKb\":200000.0,\"PassesDeadline\":true,\"Readiness\":false,"
        + "\"RunMemFactor\":8.0,\"Say\":\"threshold\",\"TellsGone\":true},"
        + "\"Limits\":{\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":60000,\"MaxRetryAfter\":1000000,"
        + "\"RetryAfter\":true},\"Me\":1,\"OverShareWorth\":0.05,\"ReplicasOfMe\":3,"
        + "\"Round\":2000,\"ScoreParts\":{\"Whole\":0.5,\"WorstClass\":0.3,\"WorstTenant\":0.1,"
        + "\"WorstWindow\":0.1},\"Telemetry\":{\"Fields\":[\"cpu\"],\"Via\":\"pull\"},"
        + "\"Tenants\":[{\"Name\":\"north-stalls\",\"QuotaPerS\":400.0,\"Share\":1.0}],"
        + "\"Tier\":0,\"Tiers\":[\"stall-servers\"],\"Zone\":\"quay\"}";
  }

  // ---------------------------------------------------------------- processes

  /** A process of the project, started with the line of the deploy file. */
  final class Node {
    final String name;
    final Process process;
    final Path log;

    Node(String name, Process process, Path log) {
      this.name = name;
      this.process = process;
      this.log = log;
    }

    void signal(String which) throws IOException {
      note("signal " + which + " to " + name + " pid=" + process.pid());
      try {
        new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    void kill() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    String logText() throws IOException {
      return new String(Files.readAllBytes(log), StandardCharsets.ISO_8859_1);
    }
  }

  static String deployLine(Path root, String key) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      Matcher quoted = Pattern.compile("^" + key + " = \"(.*?)\"\\s*(#.*)?$").matcher(line);
      if (quoted.matches()) {
        return quoted.group(1);
      }
    }
    throw new IOException("no " + key + " in the deploy file");
  }

  /** Writes a configuration. */
  Path config(
      String file, String name, int listen, int pool, int announce, Integer ledger,
      Integer management, int stopMs, int memoryMb, int sockets, String settings)
      throws IOException {
    Path path = temporary.resolve(file);
    Path fresh = temporary.resolve(file + ".new");
    Files.writeString(
        fresh,
        "{\"name\":\"" + name + "\",\"listen\":\"" + address(listen) + "\",\"pool\":\""
            + address(pool) + "\",\"announce\":\"" + address(announce) + "\","
            + (ledger == null ? "" : "\"ledger\":\"" + address(ledger) + "\",")
            + (management == null ? "" : "\"management\":\"" + address(management) + "\",")
            + "\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + stopMs
            + ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
            + "},\"settings\":" + settings + "}\n");
    Files.move(fresh, path, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    return path;
  }

  /** Starts a server by the run line; arguments are put behind it. */
  Node serve(String name, Path config, int listen, Path tmpdir, String arguments)
      throws IOException {
    Files.createDirectories(tmpdir);
    Path log = temporary.resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", deployLine(root, "run") + arguments);
    builder.directory(root.toFile());
    builder.environment().put("EDGE_NAME", name);
    builder.environment().put("EDGE_LISTEN", address(listen));
    builder.environment().put("EDGE_CONFIG", config.toString());
    builder.environment().put("TMPDIR", tmpdir.toString());
    builder.environment().remove("TROUBLE");
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Node node = new Node(name, builder.start(), log);
    nodes.add(node);
    note("started " + name + " pid=" + node.process.pid());
    return node;
  }

  /** Starts another program of the project. */
  Node program(String name, String command) throws IOException {
    Path log = temporary.resolve(name + ".log");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec " + command);
    builder.directory(root.toFile());
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Node node = new Node(name, builder.start(), log);
    nodes.add(node);
    note("started " + name + " pid=" + node.process.pid());
    return node;
  }

  /** Waits until a health check is answered as good. */
  boolean awaitHealthy(int port, long ms) {
    long end = now() + ms;
    while (now() < end) {
      if (ping(port, 1000) == 200) {
        return true;
      }
      sleep(50);
    }
    return false;
  }

  /** One health check on a connection of its own: its status, or -1 without an answer. */
  int ping(int port, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      Map<String, String> params = new LinkedHashMap<>();
      params.put("REQUEST_METHOD", "GET");
      params.put("SCRIPT_NAME", "/ping");
      params.put("QUERY_STRING", "");
      Gateway.request(out, 1, params, new byte[0]);
      socket.getOutputStream().write(out.toByteArray());
      ByteArrayOutputStream stdout = new ByteArrayOutputStream();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        int[] head = Gateway.head(in);
        byte[] content = new byte[head[2]];
        in.readFully(content);
        in.skipNBytes(head[3]);
        if (head[0] == 6) {
          stdout.write(content);
        } else if (head[0] == 3) {
          return Gateway.status(stdout.toByteArray());
        }
      }
    } catch (IOException e) {
      return -1;
    }
  }

  /** One call at the address of operators: the whole reply, or null. */
  String manage(int port, String call, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return null;
    }
  }

  // ---------------------------------------------------------------- gateway

  /** A gateway: requests over FastCGI connections that it opens as it needs them. */
  final class Gateway implements Closeable {
    private final int port;
    private final int perConnection;
    private final List<Link> links = new ArrayList<>();

    Gateway(int port, int perConnection) {
      this.port = port;
      this.perConnection = perConnection;
    }

    /** Writes a request; false if no connection could be opened. */
    synchronized boolean send(Request request) {
      requests.put(request.id, request);
      for (Link link : List.copyOf(links)) {
        if (link.ended) {
          links.remove(link);
        } else if (link.waiting.size() < perConnection) {
          return link.send(request);
        }
      }
      try {
        Link link = new Link(port);
        links.add(link);
        return link.send(request);
      } catch (IOException refused) {
        note("refused " + request.id + " " + refused.getMessage());
        request.connectionEnded = true;
        return false;
      }
    }

    /** Stops waiting for a request. */
    synchronized void abort(Request request) {
      request.aborted = true;
      links.forEach(link -> link.abort(request));
    }

    /** Resets its connections; whatever is open on them is lost. */
    synchronized void reset() {
      links.forEach(Link::reset);
      links.clear();
    }

    @Override
    public synchronized void close() {
      links.forEach(Link::close);
    }

    static void record(ByteArrayOutputStream out, int type, int id, byte[] content, int from,
        int length) {
      out.write(1);
      out.write(type);
      out.write(id >> 8);
      out.write(id);
      out.write(length >> 8);
      out.write(length);
      out.write(0);
      out.write(0);
      out.write(content, from, length);
    }

    static void length(ByteArrayOutputStream out, int length) {
      if (length < 128) {
        out.write(length);
      } else {
        out.write(length >> 24 | 0x80);
        out.write(length >> 16);
        out.write(length >> 8);
        out.write(length);
      }
    }

    static byte[] pairs(Map<String, String> params) {
      ByteArrayOutputStream pairs = new ByteArrayOutputStream();
      params.forEach(
          (name, value) -> {
            byte[] nameBytes = name.getBytes(StandardCharsets.ISO_8859_1);
            byte[] valueBytes = value.getBytes(StandardCharsets.ISO_8859_1);
            length(pairs, nameBytes.length);
            length(pairs, valueBytes.length);
            pairs.writeBytes(nameBytes);
            pairs.writeBytes(valueBytes);
          });
      return pairs.toByteArray();
    }

    static void begin(ByteArrayOutputStream out, int id) {
      record(out, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0}, 0, 8);
    }

    static void request(
        ByteArrayOutputStream out, int id, Map<String, String> params, byte[] body) {
      byte[] pairs = pairs(params);
      begin(out, id);
      record(out, 4, id, pairs, 0, pairs.length);
      record(out, 4, id, pairs, 0, 0);
      if (body.length > 0) {
        record(out, 5, id, body, 0, body.length);
      }
      record(out, 5, id, body, 0, 0);
    }

    /** Type, request id, length and padding of the next record. */
    static int[] head(DataInputStream in) throws IOException {
      in.readUnsignedByte();
      int type = in.readUnsignedByte();
      int id = in.readUnsignedShort();
      int length = in.readUnsignedShort();
      int padding = in.readUnsignedByte();
      in.readUnsignedByte();
      return new int[] {type, id, length, padding};
    }

    static int status(byte[] stdout) {
      String text = new String(stdout, StandardCharsets.ISO_8859_1);
      Matcher status = Pattern.compile("^Status: (\\d{3})").matcher(text);
      return status.find() ? Integer.parseInt(status.group(1)) : -1;
    }

    static Map<String, String> params(Request request) {
      Map<String, String> params = new LinkedHashMap<>();
      params.put("REQUEST_METHOD", "POST");
      params.put("SCRIPT_NAME", "/call/" + request.requestClass);
      params.put("QUERY_STRING", "");
      params.put("HTTP_TRACE_ID", request.id);
      params.put("HTTP_ACCEPTED_AT_MS", Long.toString(request.acceptedAt));
      params.put("HTTP_CLIENT_NO", "4");
      params.put("HTTP_PROJECT", request.project);
      params.put("HTTP_RESERVE_KB", Double.toString(request.reserveKb));
      params.put("HTTP_STANDING", "0.9250");
      if (request.maxWaitMs >= 0) {
        params.put("HTTP_MAX_WAIT_MS", Long.toString(request.maxWaitMs));
      }
      if (request.key != null) {
        params.put("HTTP_REPLAY_KEY", request.key);
      }
      return params;
    }
  }

  /** One FastCGI connection of a gateway. */
  final class Link implements Closeable {
    private final Socket socket;
    private final Map<Integer, Request> waiting = new HashMap<>();
    private final Map<Integer, ByteArrayOutputStream> outputs = new HashMap<>();
    private int lastId;
    volatile boolean ended;

    Link(int port) throws IOException {
      socket = new Socket();
      socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
      socket.setTcpNoDelay(true);
      Thread reader = new Thread(this::read, "gateway-link");
      reader.setDaemon(true);
      reader.start();
    }

    synchronized boolean send(Request request) {
      do {
        lastId = lastId % 60000 + 1;
      } while (waiting.containsKey(lastId));
      waiting.put(lastId, request);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      Gateway.request(out, lastId, Gateway.params(request), request.body);
      request.writtenAt = now();
      note("sent " + request.id + " " + request.requestClass
          + (request.key == null ? "" : " key=" + request.key));
      try {
        socket.getOutputStream().write(out.toByteArray());
        return true;
      } catch (IOException e) {
        end();
        return false;
      }
    }

    synchronized void abort(Request request) {
      waiting.forEach(
          (id, one) -> {
            if (one == request) {
              ByteArrayOutputStream out = new ByteArrayOutputStream();
              Gateway.record(out, 2, id, new byte[0], 0, 0);
              note("abort " + request.id);
              try {
                socket.getOutputStream().write(out.toByteArray());
              } catch (IOException e) {
                // the reader sees the end
              }
            }
          });
    }

    private void read() {
      try {
        DataInputStream in =
            new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        while (true) {
          int[] head = Gateway.head(in);
          byte[] content = new byte[head[2]];
          in.readFully(content);
          in.skipNBytes(head[3]);
          synchronized (this) {
            if (head[0] == 6) {
              outputs.computeIfAbsent(head[1], id -> new ByteArrayOutputStream())
                  .writeBytes(content);
            } else if (head[0] == 3) {
              answered(head[1], content);
            }
          }
        }
      } catch (IOException e) {
        end();
      }
    }

    private void answered(int id, byte[] end) {
      Request request = waiting.remove(id);
      ByteArrayOutputStream output = outputs.remove(id);
      if (request == null) {
        return;
      }
      byte[] bytes = output == null ? new byte[0] : output.toByteArray();
      String text = new String(bytes, StandardCharsets.ISO_8859_1);
      int blank = text.indexOf("\r\n\r\n");
      request.status = end[4] == 2 ? 503 : Gateway.status(bytes);
      request.content =
          blank < 0 ? new byte[0] : java.util.Arrays.copyOfRange(bytes, blank + 4, bytes.length);
      request.answers++;
      request.answeredAt = now();
      note("answered " + request.id + " status=" + request.status + " after_ms="
          + (request.answeredAt - request.acceptedAt) + " "
          + new String(request.content, 0, Math.min(60, request.content.length),
              StandardCharsets.ISO_8859_1));
    }

    synchronized void reset() {
      waiting.values().forEach(request -> request.wasReset = true);
      note("gateway resets a connection, open=" + waiting.size());
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // it is closed already
      }
      close();
    }

    private synchronized void end() {
      ended = true;
      for (Request request : waiting.values()) {
        request.connectionEnded = true;
        note("connection ended without an answer " + request.id);
      }
      waiting.clear();
      close();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // it is closed already
      }
    }
  }

  /** Makes a request that reaches the machine now. */
  Request request(String requestClass, String key) {
    Request request = new Request();
    request.id = newId();
    request.requestClass = requestClass;
    request.key = key;
    request.body =
        ("body of " + (key == null ? request.id : key)).getBytes(StandardCharsets.US_ASCII);
    request.acceptedAt = now();
    return request;
  }

  /**
   * The memory that the platform books now, in KB: a request's figure from 0.1 s after it was
   * written, or from its run, until it is answered or given up; the run factor times as much while
   * it runs or is paused.
   */
  double bookedKb(double runFactor) {
    long at = now();
    double sum = 0;
    for (Request request : requests.values()) {
      if (request.runStartedAt > 0 && request.runEndedAt == 0) {
        sum += request.reserveKb * runFactor;
      } else if (request.writtenAt > 0 && request.writtenAt + 100 <= at && !request.isOver()) {
        sum += request.reserveKb;
      }
    }
    return sum;
  }

  // ---------------------------------------------------------------- worker pool

  /** What a run does. */
  interface Work {
    /** Milliseconds of work; below 0 the run never ends by itself. */
    long ms(Request request);
  }

  /** The worker pool: runs, numbered notices, one link at a time. */
  final class Pool implements Closeable {
    private final class Run {
      final Request request;
      long leftMs;
      long since;
      boolean running;
      boolean ended;
      int calls;
      int blockedPos;
      int version;

      Run(Request request, long ms) {
        this.request = request;
        leftMs = ms;
      }
    }

    /** Whether commands are lost, as in the moment before a break. */
    volatile boolean deaf;

    private ServerSocket socket;
    private final Work work;
    private final List<String> notices = new ArrayList<>();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private Socket link;
    volatile int links;
    volatile int callsPerRun;
    volatile int closedForNoCommand;
    volatile int foreignReplies;

    /** The gauges, where they are not those of runs that keep a core busy each. */
    volatile java.util.function.Supplier<String> meters;
    volatile java.util.function.BiConsumer<String, String> onCommand = (action, uid) -> {};

    Pool(Work work) throws IOException {
      this.work = work;
      listen();
      keep(this);
    }

    private void listen() throws IOException {
      ServerSocket at = new ServerSocket(0, 50, LOOPBACK);
      socket = at;
      Thread acceptor = new Thread(() -> accept(at), "pool");
      acceptor.setDaemon(true);
      acceptor.start();
    }

    /** Moves to a new address; the link to the old one is closed 1.5 s later. */
    synchronized void move() throws IOException {
      socket.close();
      Socket old = link;
      listen();
      note("pool: moved");
      if (old != null) {
        clock.schedule(
            () -> {
              try {
                old.close();
              } catch (IOException e) {
                // it is closed already
              }
            },
            1500,
            TimeUnit.MILLISECONDS);
      }
    }

    int port() {
      return socket.getLocalPort();
    }

    private void accept(ServerSocket at) {
      try {
        while (true) {
          Socket accepted = at.accept();
          accepted.setTcpNoDelay(true);
          Thread reader = new Thread(() -> read(accepted), "pool-link");
          reader.setDaemon(true);
          reader.start();
        }
      } catch (IOException closed) {
        // the case is over
      }
    }

    private void read(Socket from) {
      try (BufferedReader in =
          new BufferedReader(
              new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (!command(from, line)) {
            note("pool: no command, the link is closed: " + line);
            closedForNoCommand++;
            break;
          }
        }
      } catch (IOException e) {
        // the link is over
      }
      try {
        from.close();
      } catch (IOException e) {
        // it is closed already
      }
    }

    static String field(String line, String name) {
      Matcher text = Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|(-?\\d+))")
          .matcher(line);
      return !text.find() ? null : text.group(2) != null ? text.group(2) : text.group(3);
    }

    private synchronized boolean command(Socket from, String line) throws IOException {
      String action = field(line, "action");
      String uid = field(line, "uid");
      if (action == null) {
        return false;
      }
      onCommand.accept(action, uid);
      if (action.equals("bind")) {
        if (link != null && link != from) {
          link.close();
        }
        link = from;
        links++;
        int after = Integer.parseInt(field(line, "pos"));
        note("pool: bind pos=" + after);
        tell("{\"action\":\"bound\",\"code\":\"seasoned\",\"wall_ms\":600000}");
        for (int pos = after + 1; pos <= notices.size(); pos++) {
          tell(notices.get(pos - 1));
        }
        return true;
      } else if (from != link || deaf) {
        return true;
      }
      switch (action) {
        case "poll" -> {
          long running = runs.values().stream().filter(run -> run.running).count();
          String gauges =
              meters != null ? meters.get() : Math.min(1, running / 6.0) + "," + running + ",0.1,5";
          tell("{\"action\":\"polled\",\"echo\":\"" + field(line, "echo") + "\",\"meters\":["
              + gauges + "]}");
        }
        case "verify" -> tell("{\"action\":\"verified\",\"echo\":\"" + field(line, "echo")
            + "\",\"code\":\"done\"}");
        case "spawn" -> spawn(uid, line);
        case "suspend" -> suspend(uid);
        case "proceed" -> proceed(uid);
        case "supply" -> supply(uid, line);
        case "pass" -> {
          return pass(uid, field(line, "pos"));
        }
        default -> {
          return false;
        }
      }
      return true;
    }

    private void spawn(String uid, String line) {
      Request request = requests.get(uid);
      byte[] body = Base64.getDecoder().decode(field(line, "content"));
      if (request == null
          || !request.requestClass.equals(field(line, "lane"))
          || !java.util.Arrays.equals(request.body, body)) {
        note("pool: spawn of an unknown request " + uid);
        tell("{\"action\":\"unknown\",\"code\":\"spawn\",\"uid\":\"" + uid + "\"}");
        return;
      }
      Run known = runs.get(uid);
      if (known != null && !known.ended) {
        return;
      }
      if (request.isOver() || known != null) {
        note("pool: spawn of a request that is over " + uid);
        notice("finished", uid, "\"code\":\"stale\",\"wall_ms\":0,\"content\":\"\"");
        return;
      }
      Run run = new Run(request, work.ms(request));
      runs.put(uid, run);
      request.runs.incrementAndGet();
      request.runStartedAt = now();
      note("run " + uid + " " + request.requestClass
          + (request.key == null ? "" : " key=" + request.key));
      go(run);
    }

    private void go(Run run) {
      run.running = true;
      run.since = now();
      int version = ++run.version;
      if (run.leftMs >= 0) {
        clock.schedule(() -> worked(run, version), run.leftMs, TimeUnit.MILLISECONDS);
      }
    }

    private synchronized void worked(Run run, int version) {
      if (run.version != version || run.ended) {
        return;
      }
      run.running = false;
      String uid = run.request.id;
      if (run.calls < callsPerRun) {
        if (run.request.isOver()) {
          finish(run, "aborted", new byte[0]);
          return;
        }
        run.calls++;
        note("run blocked " + uid + " call " + run.calls);
        notice("blocked", uid, "\"content\":\"" + Base64.getEncoder().encodeToString(
            ("call " + run.calls + " of " + uid).getBytes(StandardCharsets.US_ASCII)) + "\"");
        run.blockedPos = notices.size();
        return;
      }
      finish(run, "done", ("result of " + uid).getBytes(StandardCharsets.US_ASCII));
    }

    private void finish(Run run, String code, byte[] result) {
      run.ended = true;
      run.running = false;
      run.request.runEndedAt = now();
      note("run ended " + run.request.id + " " + code);
      notice("finished", run.request.id, "\"code\":\"" + code + "\",\"wall_ms\":"
          + Math.max(1, now() - run.since) + ",\"content\":\""
          + Base64.getEncoder().encodeToString(result) + "\"");
    }

    private void suspend(String uid) {
      Run run = runs.get(uid);
      if (run == null || run.ended || !run.running) {
        return;
      }
      run.running = false;
      run.version++;
      run.leftMs = run.leftMs < 0 ? run.leftMs : Math.max(0, run.leftMs - (now() - run.since));
      note("run suspended " + uid);
      run.ended = run.request.isOver();
      run.request.runEndedAt = run.ended ? now() : 0;
      notice("finished", uid, "\"code\":\"aborted\",\"wall_ms\":1,\"content\":\"\"");
    }

    private void proceed(String uid) {
      Run run = runs.get(uid);
      if (run != null && !run.ended && !run.running && run.blockedPos == 0) {
        go(run);
      }
    }

    private void supply(String uid, String line) {
      Run run = runs.get(uid);
      if (run != null && !run.ended && run.blockedPos != 0) {
        String given =
            new String(Base64.getDecoder().decode(field(line, "content")),
                StandardCharsets.US_ASCII);
        note("pool: supply " + uid + " " + given);
        if (!given.equals("reply to call " + run.calls + " of " + uid)) {
          foreignReplies++;
          note("pool: that is not the reply to its call " + run.calls);
        }
        run.blockedPos = 0;
        run.leftMs = work.ms(run.request);
        go(run);
      }
    }

    /** As the page writes it, with the number of the notice that asked for the call. */
    private boolean pass(String uid, String pos) {
      if (pos == null) {
        return false;
      }
      Run run = runs.get(uid);
      if (run != null && !run.ended && run.blockedPos == Integer.parseInt(pos)) {
        note("pool: pass " + uid);
        run.blockedPos = 0;
        run.leftMs = work.ms(run.request);
        go(run);
      }
      return true;
    }

    private void notice(String action, String uid, String fields) {
      int pos = notices.size() + 1;
      notices.add("{\"action\":\"" + action + "\",\"pos\":" + pos + ",\"uid\":\"" + uid + "\","
          + fields + "}");
      tell(notices.get(pos - 1));
    }

    private void tell(String line) {
      if (link == null) {
        return;
      }
      try {
        link.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      } catch (IOException e) {
        link = null;
      }
    }

    /** Breaks the link. */
    synchronized void cut() throws IOException {
      if (link != null) {
        note("pool: the link breaks");
        link.setSoLinger(true, 0);
        link.close();
        link = null;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      synchronized (this) {
        if (link != null) {
          link.close();
        }
      }
    }
  }

  // ---------------------------------------------------------------- ledger

  /** The ledger: answers each call after a while. */
  final class Ledger implements Closeable {
    /** How a call ends, and after how many milliseconds; null for no answer. */
    interface Ends {
      String[] of(String id, String call);
    }

    private final Ends ends;
    private ServerSocket socket;
    private final List<Socket> links = new CopyOnWriteArrayList<>();
    final List<String> posts = new CopyOnWriteArrayList<>();

    Ledger(Ends ends) throws IOException {
      this.ends = ends;
      up(0);
      keep(this);
    }

    int port() {
      return socket.getLocalPort();
    }

    void up(int port) throws IOException {
      ServerSocket at = new ServerSocket();
      at.setReuseAddress(true);
      at.bind(new InetSocketAddress(LOOPBACK, port));
      socket = at;
      Thread acceptor =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket accepted = at.accept();
                    accepted.setTcpNoDelay(true);
                    links.add(accepted);
                    Thread reader = new Thread(() -> read(accepted), "ledger-link");
                    reader.setDaemon(true);
                    reader.start();
                  }
                } catch (IOException closed) {
                  // it is down
                }
              },
              "ledger");
      acceptor.setDaemon(true);
      acceptor.start();
    }

    void cut() {
      note("ledger: its connections break");
      for (Socket link : links) {
        try {
          link.setSoLinger(true, 0);
          link.close();
        } catch (IOException e) {
          // it is closed already
        }
      }
      links.clear();
    }

    private void read(Socket from) {
      try {
        DataInputStream in =
            new DataInputStream(new java.io.BufferedInputStream(from.getInputStream()));
        while (true) {
          StringBuilder line = new StringBuilder();
          for (int one = in.readUnsignedByte(); one != '\n'; one = in.readUnsignedByte()) {
            line.append((char) one);
          }
          String[] words = line.toString().strip().split(" ");
          if (words[0].equals("abandon")) {
            note("ledger: abandon " + words[1]);
            continue;
          }
          byte[] body = new byte[Integer.parseInt(words[3])];
          in.readFully(body);
          in.readUnsignedShort();
          String call = new String(body, StandardCharsets.US_ASCII);
          String[] end = ends.of(words[1], call);
          posts.add(call + "|" + (end == null ? "none" : end[0]));
          note("ledger: post " + call + " limit_ms=" + words[2] + " -> "
              + (end == null ? "no answer" : end[0] + " after_ms=" + end[1]));
          if (end != null) {
            clock.schedule(
                () -> answer(from, words[1], end[0], call), Long.parseLong(end[1]),
                TimeUnit.MILLISECONDS);
          }
        }
      } catch (IOException e) {
        // the link is over
      }
    }

    private void answer(Socket to, String id, String end, String call) {
      String reply = "reply to " + call;
      String text =
          end.equals("posted")
              ? id + " posted " + reply.length() + "\r\n" + reply + "\r\n"
              : id + " " + end + "\r\n";
      try {
        synchronized (to) {
          to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
      } catch (IOException e) {
        // the link is over
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      cut();
    }
  }

  // ---------------------------------------------------------------- announce service

  /** The announce service: answers each report with 204. */
  final class Announce implements Closeable {
    private final ServerSocket socket = new ServerSocket(0, 50, LOOPBACK);
    volatile String last = "";
    volatile int reports;

    Announce() throws IOException {
      Thread acceptor =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket accepted = socket.accept();
                    Thread reader = new Thread(() -> serve(accepted), "announce-link");
                    reader.setDaemon(true);
                    reader.start();
                  }
                } catch (IOException closed) {
                  // the case is over
                }
              },
              "announce");
      acceptor.setDaemon(true);
      acceptor.start();
      keep(this);
    }

    int port() {
      return socket.getLocalPort();
    }

    private void serve(Socket from) {
      try (from) {
        InputStream in = from.getInputStream();
        OutputStream out = from.getOutputStream();
        while (true) {
          StringBuilder head = new StringBuilder();
          while (head.indexOf("\r\n\r\n") < 0) {
            int one = in.read();
            if (one < 0) {
              return;
            }
            head.append((char) one);
          }
          Matcher length =
              Pattern.compile("(?i)content-length:\\s*(\\d+)").matcher(head);
          last = new String(
              in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0),
              StandardCharsets.US_ASCII);
          reports++;
          out.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
      } catch (IOException e) {
        // the server has left
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
