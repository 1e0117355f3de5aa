import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** One FastCGI connection of a gateway. Answers are read all the time. */
final class Gateway {
  /** A request, from its first byte to its answer. */
  static final class Request {
    final int number;
    final String id;
    final String path;
    final long acceptedAt = System.currentTimeMillis();
    byte[] bytes;
    volatile long writtenAt;
    volatile long answeredAt;
    volatile String answer;
    volatile boolean connectionEnded;

    /** Whether nothing had been answered on its connection when it was written. */
    volatile boolean onNewConnection;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    Request(int number, String id, String path) {
      this.number = number;
      this.id = id;
      this.path = path;
    }

    int status() {
      return answer == null || !answer.startsWith("Status: ")
          ? -1
          : Integer.parseInt(answer.substring(8, 11));
    }

    @Override
    public String toString() {
      return path + " id=" + id;
    }
  }

  private static final Random IDS = new Random();
  private static final int BEGIN = 1;
  private static final int END = 3;
  private static final int PARAMS = 4;
  private static final int STDIN = 5;
  private static final int STDOUT = 6;

  private final Lab lab;
  private final String name;
  private final Socket socket = new Socket();
  private final Map<Integer, Request> open = new LinkedHashMap<>();
  private int requests;
  private volatile boolean ended;
  private volatile boolean hasAnswered;

  Gateway(Lab lab, String name, int port) throws IOException {
    this.lab = lab;
    this.name = name;
    socket.connect(new InetSocketAddress(Lab.loopback(), port), 1000);
    socket.setTcpNoDelay(true);
    Announce.daemon(name, this::read);
  }

  /** Whether the server has closed or reset the connection. */
  boolean hasEnded() {
    return ended;
  }

  void close() throws IOException {
    socket.close();
  }

  private void read() {
    try {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        in.readUnsignedByte();
        int type = in.readUnsignedByte();
        int id = in.readUnsignedShort();
        byte[] content = new byte[in.readUnsignedShort()];
        int padding = in.readUnsignedByte();
        in.readUnsignedByte();
        in.readFully(content);
        in.skipBytes(padding);
        Request request;
        synchronized (open) {
          request = type == END ? open.remove(id) : open.get(id);
        }
        if (request != null && type == STDOUT) {
          request.output.write(content);
        } else if (request != null && type == END) {
          request.answer = request.output.toString(StandardCharsets.ISO_8859_1);
          request.answeredAt = System.currentTimeMillis();
          hasAnswered = true;
          if (!request.path.equals("/ping")) {
            lab.note(name + " answered " + request.status() + " to " + request);
          }
        }
      }
    } catch (IOException end) {
      ended = true;
      synchronized (open) {
        open.values().forEach(request -> request.connectionEnded = true);
        lab.note(name + " connection ended (" + end + ") with open requests: " + open.values());
      }
    }
  }

  private static void field(ByteArrayOutputStream out, String name, String value) {
    for (String text : new String[] {name, value}) {
      out.write(text.length());
    }
    out.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(value.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void record(ByteArrayOutputStream out, int type, int id, byte[] content) {
    out.writeBytes(
        new byte[] {
          1, (byte) type, (byte) (id >> 8), (byte) id,
          (byte) (content.length >> 8), (byte) content.length, 0, 0
        });
    out.writeBytes(content);
  }

  /** Makes a request without writing it. */
  Request request(String path, Map<String, String> more, String body) {
    Request request = new Request(++requests, String.format("%016x", IDS.nextLong()), path);
    ByteArrayOutputStream fields = new ByteArrayOutputStream();
    field(fields, "REQUEST_METHOD", "POST");
    field(fields, "SCRIPT_NAME", path);
    field(fields, "HTTP_TRACE_ID", request.id);
    field(fields, "HTTP_ACCEPTED_AT_MS", Long.toString(request.acceptedAt));
    field(fields, "HTTP_CLIENT_NO", "1");
    more.forEach((key, value) -> field(fields, key, value));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    record(out, BEGIN, request.number, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
    record(out, PARAMS, request.number, fields.toByteArray());
    record(out, PARAMS, request.number, new byte[0]);
    if (!body.isEmpty()) {
      record(out, STDIN, request.number, body.getBytes(StandardCharsets.UTF_8));
    }
    record(out, STDIN, request.number, new byte[0]);
    request.bytes = out.toByteArray();
    return request;
  }

  /** Writes a whole request. */
  Request send(Request request) throws IOException {
    write(request, request.bytes.length);
    return request;
  }

  /** Writes the first bytes of a request. */
  void write(Request request, int bytes) throws IOException {
    synchronized (open) {
      open.put(request.number, request);
      request.onNewConnection = !hasAnswered;
      request.connectionEnded = ended;
    }
    socket.getOutputStream().write(Arrays.copyOf(request.bytes, bytes));
    boolean whole = bytes == request.bytes.length;
    if (whole) {
      request.writtenAt = System.currentTimeMillis();
    }
    if (!request.path.equals("/ping")) {
      lab.note(
          name + " wrote " + bytes + " of " + request.bytes.length + " bytes of " + request);
    }
  }

  /** Waits until a server answers a health check well on a connection of its own. */
  static void awaitHealthy(Lab lab, int port, long millis) throws Exception {
    long until = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < until) {
      if (health(lab, port) == 200) {
        return;
      }
      Thread.sleep(50);
    }
    throw new Lab.NotRun("the server does not answer a health check");
  }

  /** The status of a health check, or -1. */
  static int health(Lab lab, int port) throws Exception {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(Lab.loopback(), port), 500);
      socket.setSoTimeout(1000);
      ByteArrayOutputStream fields = new ByteArrayOutputStream();
      field(fields, "REQUEST_METHOD", "GET");
      field(fields, "SCRIPT_NAME", "/ping");
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      record(out, BEGIN, 1, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
      record(out, PARAMS, 1, fields.toByteArray());
      record(out, PARAMS, 1, new byte[0]);
      record(out, STDIN, 1, new byte[0]);
      socket.getOutputStream().write(out.toByteArray());
      byte[] head = socket.getInputStream().readNBytes(19);
      String text = new String(head, 8, Math.max(0, head.length - 8), StandardCharsets.ISO_8859_1);
      return text.length() == 11 && text.startsWith("Status: ")
          ? Integer.parseInt(text.substring(8))
          : -1;
    } catch (IOException refused) {
      return -1;
    }
  }
}
