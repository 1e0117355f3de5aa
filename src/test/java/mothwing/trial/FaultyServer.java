package mothwing.trial;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A double of the program that breaks one rule, which its name says: the oracles have to see it.
 */
public final class FaultyServer {

  private record Open(OutputStream to, int id, String kind) {}

  private final String name;
  private final Map<String, Open> open = new ConcurrentHashMap<>();
  private final OutputStream pool;

  private FaultyServer(String name, Socket pool) throws IOException {
    this.name = name;
    this.pool = pool.getOutputStream();
  }

  /** Runs it as {@code serve --config FILE}. */
  public static void main(String[] arguments) throws Exception {
    JsonObject config =
        JsonParser.parseString(Files.readString(Path.of(arguments[2]))).getAsJsonObject();
    String name = config.get("name").getAsString();
    InetSocketAddress pool = address(config, "pool");
    Socket link = new Socket(pool.getAddress(), pool.getPort());
    FaultyServer one = new FaultyServer(name, link);
    one.command("{\"action\":\"bind\",\"pos\":0}");
    BufferedReader notices =
        new BufferedReader(new InputStreamReader(link.getInputStream(), StandardCharsets.UTF_8));
    daemon(() -> one.read(notices));
    daemon(() -> accept(listen(address(config, "management")), one::door));
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  sleep(
                      name.equals("s4")
                          ? 2900
                          : 0); // s4 keeps its connections after the notice to leave
                  Runtime.getRuntime().halt(0);
                }));
    accept(listen(address(config, "listen")), one::client);
  }

  private static InetSocketAddress address(JsonObject config, String field) {
    String[] parts = config.get(field).getAsString().split(":");
    return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
  }

  private static ServerSocket listen(InetSocketAddress at) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    socket.setReuseAddress(true);
    socket.bind(at);
    return socket;
  }

  private interface Work {
    void run() throws IOException;
  }

  private interface Use {
    void take(Socket socket) throws IOException;
  }

  private static void daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException over) {
                // the other side has left
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException broken) {
      Thread.currentThread().interrupt();
    }
  }

  private static void accept(ServerSocket at, Use use) throws IOException {
    while (true) {
      Socket came = at.accept();
      daemon(() -> use.take(came));
    }
  }

  private void door(Socket came) throws IOException {
    try (came) {
      came.getOutputStream().write("YES\n".getBytes(StandardCharsets.US_ASCII));
    }
  }

  private synchronized void command(String line) throws IOException {
    pool.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
  }

  private void client(Socket came) throws IOException {
    DataInputStream in = new DataInputStream(came.getInputStream());
    String params = "";
    while (true) {
      byte[] head = in.readNBytes(8);
      if (head.length < 8) {
        return;
      }
      int id = (head[2] & 255) << 8 | (head[3] & 255);
      byte[] content = in.readNBytes((head[4] & 255) << 8 | (head[5] & 255));
      in.skipNBytes(head[6]);
      if (head[1] == 4 && content.length > 0) {
        params = new String(content, StandardCharsets.ISO_8859_1);
      } else if (head[1] == 5 && content.length > 0) {
        asked(came.getOutputStream(), id, params, content);
      }
    }
  }

  private void asked(OutputStream to, int id, String params, byte[] body) throws IOException {
    int at = params.indexOf("HTTP_TRACE_ID") + "HTTP_TRACE_ID".length();
    String trace = params.substring(at, at + 16);
    String kind =
        params.contains("/call/" + BrokerFixture.ORDER) ? BrokerFixture.ORDER : BrokerFixture.LOOK;
    open.put(trace, new Open(to, id, kind));
    spawn(trace, kind, body);
  }

  private void spawn(String trace, String kind, byte[] body) throws IOException {
    command(
        "{\"action\":\"spawn\",\"uid\":\""
            + trace
            + "\",\"lane\":\""
            + kind
            + "\",\"content\":\""
            + Base64.getEncoder().encodeToString(body)
            + "\"}");
  }

  private void read(BufferedReader notices) throws IOException {
    for (String line = notices.readLine(); line != null; line = notices.readLine()) {
      JsonObject notice = JsonParser.parseString(line).getAsJsonObject();
      Open one = notice.has("uid") ? open.remove(notice.get("uid").getAsString()) : null;
      if (one != null) {
        byte[] result = Base64.getDecoder().decode(notice.get("content").getAsString());
        daemon(() -> ended(notice.get("uid").getAsString(), one, result));
      }
    }
  }

  /** Here it breaks its rule. */
  private void ended(String trace, Open one, byte[] result) throws IOException {
    switch (name) {
      case "s1" -> {
        answer(one, "200 OK", result);
        answer(one, "200 OK", result);
      }
      case "s2" -> {
        spawn(trace, one.kind, StandInPool.made(result));
        answer(one, "200 OK", result);
      }
      case "s3" -> {
        sleep(1500);
        answer(one, "200 OK", result);
      }
      case "s5" -> answer(one, "200 OK", new byte[] {1, 2, 3});
      case "s6" -> answer(one, "503 Refused", new byte[0]);
      case "s7" -> Runtime.getRuntime().halt(7);
      default -> answer(one, "200 OK", result);
    }
  }

  private static void answer(Open one, String status, byte[] result) throws IOException {
    byte[] head = String.format("Status: %s\r\n\r\n", status).getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[head.length + result.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(result, 0, all, head.length, result.length);
    synchronized (one.to) {
      one.to.write(Gateway.FastCgi.record(6, one.id, all));
      one.to.write(Gateway.FastCgi.record(3, one.id, new byte[8]));
    }
  }
}
