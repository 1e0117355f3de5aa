import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The worker pool behind one address. A body "work MS" takes MS milliseconds; each run has a core
 * of its own, so a case must not have more runs at a time than cores. The stop mode is suspend. The
 * result of a run is "done ID".
 */
final class Pool {
  private final class Run {
    private final String id;
    private long leftMillis;
    private long startedAt;
    private boolean ended;
    private ScheduledFuture<?> end;

    Run(String id, long millis) {
      this.id = id;
      leftMillis = millis;
    }
  }

  private static final Pattern FIELD =
      Pattern.compile("\"(\\w+)\"\\s*:\\s*(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([-0-9.]+))");

  private final Lab lab;
  private final String name;
  private final int cores;
  private final ServerSocket listener = new ServerSocket(0, 50, Lab.loopback());
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "pool");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final List<String> notices = new ArrayList<>();
  private final long upSince = System.currentTimeMillis();
  private Socket link;

  Pool(Lab lab, String name, int cores) throws IOException {
    this.lab = lab;
    this.name = name;
    this.cores = cores;
    Announce.daemon(name, this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Whether a run of this request was begun. */
  synchronized boolean hasRun(String id) {
    return runs.containsKey(id);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Announce.daemon(name + "-link", () -> read(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void read(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(line);
        while (matcher.find()) {
          fields.put(matcher.group(1), matcher.group(2) != null ? matcher.group(2) : matcher.group(3));
        }
        handle(socket, fields);
      }
    } catch (IOException ended) {
      // a link that has ended; runs continue
    }
  }

  private synchronized void handle(Socket socket, Map<String, String> fields) throws IOException {
    switch (fields.get("action")) {
      case "bind" -> {
        if (link != null) {
          link.close();
        }
        link = socket;
        long age = System.currentTimeMillis() - upSince;
        write("{\"action\":\"bound\",\"code\":\"seasoned\",\"wall_ms\":" + age + "}");
        for (int i = Integer.parseInt(fields.get("pos")); i < notices.size(); i++) {
          write(notices.get(i));
        }
      }
      case "spawn" -> spawn(fields);
      case "suspend" -> suspend(fields.get("uid"));
      case "proceed" -> proceed(runs.get(fields.get("uid")));
      case "poll" ->
          write(
              "{\"action\":\"polled\",\"echo\":\""
                  + fields.get("echo")
                  + "\",\"meters\":["
                  + Math.min(1.0, running() / (double) cores)
                  + ","
                  + running()
                  + ",0.1,4]}");
      case "verify" ->
          write(
              "{\"action\":\"verified\",\"echo\":\"" + fields.get("echo") + "\",\"code\":\"done\"}");
      default -> lab.note(name + " does not know " + fields);
    }
  }

  private long running() {
    return runs.values().stream().filter(run -> run.end != null).count();
  }

  private void spawn(Map<String, String> fields) throws IOException {
    String id = fields.get("uid");
    Run known = runs.get(id);
    if (known != null) {
      if (known.ended) {
        lab.note(name + " run again id=" + id);
      }
      return;
    }
    String body =
        new String(Base64.getDecoder().decode(fields.get("content")), StandardCharsets.UTF_8);
    Run run = new Run(id, Long.parseLong(body.split(" ")[1]));
    runs.put(id, run);
    lab.note(name + " runs id=" + id + " class=" + fields.get("lane") + " " + body);
    proceed(run);
  }

  private void proceed(Run run) {
    if (run == null || run.ended || run.end != null) {
      return;
    }
    run.startedAt = System.currentTimeMillis();
    run.end = clock.schedule(() -> finish(run), run.leftMillis, TimeUnit.MILLISECONDS);
  }

  private void suspend(String id) throws IOException {
    Run run = runs.get(id);
    if (run == null || run.ended) {
      write("{\"action\":\"unknown\",\"code\":\"suspend\",\"uid\":\"" + id + "\"}");
    } else if (run.end != null && run.end.cancel(false)) {
      run.end = null;
      run.leftMillis -= System.currentTimeMillis() - run.startedAt;
      lab.note(name + " suspends id=" + id);
      notice(id, "aborted", 0, "");
    }
  }

  private synchronized void finish(Run run) {
    run.ended = true;
    run.end = null;
    lab.note(name + " done id=" + run.id);
    String result =
        Base64.getEncoder().encodeToString(("done " + run.id).getBytes(StandardCharsets.UTF_8));
    notice(run.id, "done", System.currentTimeMillis() - run.startedAt, result);
  }

  private void notice(String id, String code, long millis, String content) {
    String line =
        "{\"action\":\"finished\",\"pos\":"
            + (notices.size() + 1)
            + ",\"uid\":\""
            + id
            + "\",\"code\":\""
            + code
            + "\",\"wall_ms\":"
            + millis
            + ",\"content\":\""
            + content
            + "\"}";
    notices.add(line);
    try {
      write(line);
    } catch (IOException lost) {
      // sent again on the next link
    }
  }

  private void write(String line) throws IOException {
    if (link != null) {
      link.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }
}
