package mothwing.witness;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.zip.GZIPOutputStream;
import mothwing.adapter.Adapter;

/**
 * Records the files of {@link AdapterWitnessTest}, and the messages of {@link SettingsWitnessTest}:
 * it plays two instances against the adapter, with a seeded random load that follows the actions,
 * and writes down both directions.
 *
 * <p>Run it only where a change of the decisions is meant: {@code AdapterRecorder FOLDER}, with the
 * test classes on the class path, twice: the list of kinds is of the recordings on the class path.
 */
final class AdapterRecorder {
  private static final long SECOND = 1_000_000;
  private static final long ROUND = 20_000;
  private static final long SLOWDOWN = 35 * SECOND;
  private static final long NOTICE = 62 * SECOND;
  private static final long REPLACEMENT = 66 * SECOND;
  private static final long END = 75 * SECOND;
  private static final int CORES = 2;
  private static final String[] BAD_ENDS = {"BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP"};

  private record Due(long at, long order, JsonObject event) {}

  /** One request as the load knows it; the order of its last event, so that a stop cancels it. */
  private static final class Job {
    private boolean runs;
    private boolean calledAlready;
    private boolean waitsAtCall;
    private boolean paused;
    private boolean over;
    private long callUntil;
    private long pending;
    private long left;
  }

  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(
          (one, other) ->
              one.at() != other.at()
                  ? Long.compare(one.at(), other.at())
                  : Long.compare(one.order(), other.order()));
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<String> keyed = new ArrayList<>();
  private final JsonObject options;
  private final Random random;
  private final boolean suspends;
  private long orders;
  private int running;
  private int submitted;

  private AdapterRecorder(JsonObject options, long seed) {
    this.options = options;
    this.random = new Random(seed);
    this.suspends = options.toString().contains("suspend");
  }

  public static void main(String[] words) throws Exception {
    Path folder = Path.of(words[0]);
    long seed = 11;
    for (String variant : AdapterWitnessTest.VARIANTS) {
      JsonObject options =
          JsonParser.parseString(Files.readString(folder.resolve(variant + "-settings.json")))
              .getAsJsonObject();
      new AdapterRecorder(options, seed++).record(folder, variant);
    }
    Files.writeString(folder.resolve("kinds.txt"), AdapterWitnessTest.kinds());
    Files.writeString(folder.resolve("bad-lines.txt"), AdapterWitnessTest.badLines());
    Files.writeString(
        folder.resolveSibling("settings").resolve("bad-values.txt"),
        SettingsWitnessTest.badValues());
  }

  private void record(Path folder, String variant) throws Exception {
    List<String> inputs = new ArrayList<>();
    List<String> outputs = new ArrayList<>();
    try (PipedOutputStream toAdapter = new PipedOutputStream();
        PipedInputStream fromAdapter = new PipedInputStream(1 << 20)) {
      PipedInputStream input = new PipedInputStream(toAdapter, 1 << 20);
      PipedOutputStream output = new PipedOutputStream(fromAdapter);
      Thread adapter = new Thread(() -> run(input, output));
      adapter.start();
      BufferedReader replies =
          new BufferedReader(new InputStreamReader(fromAdapter, StandardCharsets.UTF_8));
      script();
      while (!queue.isEmpty() && queue.peek().at() < END) {
        String line = nextBatch();
        toAdapter.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        toAdapter.flush();
        String reply = replies.readLine();
        inputs.add(line);
        outputs.add(reply);
        follow(JsonParser.parseString(line).getAsJsonObject().get("SimTime").getAsLong(), reply);
      }
    }
    write(folder.resolve(variant + "-input.gz"), inputs);
    write(folder.resolve(variant + "-output.gz"), outputs);
  }

  private static void run(PipedInputStream input, PipedOutputStream output) {
    try (output) {
      new Adapter(input, output, System.err).run();
    } catch (IOException broken) {
      throw new IllegalStateException(broken);
    }
  }

  private static void write(Path file, List<String> lines) throws IOException {
    try (GZIPOutputStream out = new GZIPOutputStream(Files.newOutputStream(file))) {
      out.write((String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
    }
  }

  private void script() {
    powerOn(0, 1);
    powerOn(0, 2);
    for (long at = ROUND; at < END; at += gap(at)) {
      submit(at, at < REPLACEMENT ? 1 + random.nextInt(2) : 1);
    }
    JsonObject notice = event("Sigterm", 2);
    notice.addProperty("ValidUntil", NOTICE + 3 * SECOND);
    schedule(NOTICE, notice);
    schedule(REPLACEMENT - ROUND, event("Detach", 2));
    powerOn(REPLACEMENT, 2);
  }

  /** Light, then twice what the cores can do, then light again. */
  private long gap(long at) {
    double perSecond = at > 15 * SECOND && at < 45 * SECOND ? 60 : 14;
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
  }

  private void powerOn(long at, int who) {
    JsonObject start = event("PowerOn", who);
    start.addProperty("Seed", 5 + who);
    start.add("Options", options);
    schedule(at, start);
  }

  private static JsonObject event(String what, int who) {
    JsonObject event = new JsonObject();
    event.addProperty("what", what);
    event.addProperty("Who", who);
    return event;
  }

  private static JsonObject event(String what, int who, String job) {
    JsonObject event = event(what, who);
    event.addProperty("Job", job);
    return event;
  }

  private long schedule(long at, JsonObject event) {
    queue.add(new Due(at, ++orders, event));
    return orders;
  }

  private void submit(long at, int who) {
    String job = String.format("%08x", 0xa000 + submitted++);
    JsonObject event = event("Submit", who, job);
    JsonArray classes = options.getAsJsonArray("Classes");
    JsonObject kind = classes.get(random.nextInt(classes.size())).getAsJsonObject();
    event.add("Band", kind.get("Name"));
    event.addProperty("Kb", 4 + random.nextInt(400) / 10.0);
    event.addProperty("Author", random.nextInt(6));
    if (random.nextInt(4) > 0) {
      event.addProperty("Cost", 10_000 + random.nextInt(90_000));
    }
    if (random.nextInt(3) == 0) {
      event.addProperty("UnreadFor", random.nextInt(30_000));
    }
    if (random.nextInt(3) > 0) {
      event.addProperty("Prio", random.nextInt(10_000) / 10_000.0);
    }
    if (random.nextInt(2) == 0) {
      event.addProperty("ValidUntil", at + 300_000 + random.nextInt(2_500_000));
    }
    JsonArray tenants = options.getAsJsonArray("Tenants");
    if (tenants != null) {
      int place = random.nextInt(tenants.size() + 1);
      event.addProperty(
          "Team",
          place < tenants.size()
              ? tenants.get(place).getAsJsonObject().get("Name").getAsString()
              : "nobody");
    }
    repeatOrSubject(event, kind, job);
    schedule(at, event);
    if (random.nextInt(12) == 0) {
      schedule(at + random.nextInt(1_500_000), event("Abandoned", who, job));
    }
  }

  private void repeatOrSubject(JsonObject event, JsonObject kind, String job) {
    String idempotency = kind.get("Idempotency").getAsString();
    if (idempotency.equals("guarded")) {
      boolean repeats = !keyed.isEmpty() && random.nextInt(5) == 0;
      if (repeats) {
        int recent = Math.min(keyed.size(), 40);
        event.addProperty("Forerunner", keyed.get(keyed.size() - 1 - random.nextInt(recent)));
      } else {
        event.addProperty("Forerunner", 0);
        keyed.add(job);
      }
      event.addProperty("Mutates", true);
    } else if (idempotency.equals("free")) {
      event.addProperty("Affinity", "subject-" + random.nextInt(25));
    } else {
      event.addProperty("Mutates", true);
    }
  }

  /** All that is due within one round, under the time of the round's end. */
  private String nextBatch() {
    long now = (queue.peek().at() / ROUND + 1) * ROUND;
    JsonArray events = new JsonArray();
    while (!queue.isEmpty() && queue.peek().at() < now) {
      Due due = queue.poll();
      String job = due.event().has("Job") ? due.event().get("Job").getAsString() : "";
      String what = due.event().get("what").getAsString();
      Job known = jobs.get(job);
      if (known != null
          && known.pending != due.order()
          && (what.equals("Finished") || what.equals("StalledOnCall"))) {
        continue;
      }
      if (known != null && what.equals("Finished") && known.runs) {
        known.runs = false;
        running--;
      }
      events.add(due.event());
      if (known != null && what.equals("StalledOnCall")) {
        known.waitsAtCall = true;
      }
      if (what.equals("Abandoned")) {
        endRequest(now, due.event().get("Who").getAsInt(), job);
      }
    }
    JsonObject batch = new JsonObject();
    batch.addProperty("SimTime", now);
    batch.add("in", events);
    return batch.toString();
  }

  private void follow(long now, String reply) {
    for (var element : JsonParser.parseString(reply).getAsJsonObject().getAsJsonArray("out")) {
      JsonObject action = element.getAsJsonObject();
      int who = action.get("Who").getAsInt();
      String id = action.has("Job") ? action.get("Job").getAsString() : "";
      switch (action.get("what").getAsString()) {
        case "Start" -> start(now, who, id);
        case "AskBelow" -> ask(now, who, id);
        case "Omit" -> finish(now + work(now), who, id);
        case "Replay" -> finish(now + 1000, who, id);
        case "Preempt" -> stop(now, who, id);
        case "EndFailed" -> endRequest(now, who, id);
        case "Timer" -> timer(Math.max(now, action.get("Time").getAsLong()), who, action);
        default -> {}
      }
    }
  }

  /** Core time, longer where runs share the cores and in the time of the slowdown. */
  private long work(long now) {
    double share = Math.max(1, (double) running / CORES);
    double slow = now > SLOWDOWN && now < SLOWDOWN + 6 * SECOND ? 4 : 1;
    return (long) ((15_000 + random.nextInt(130_000)) * share * slow);
  }

  private void start(long now, int who, String id) {
    Job job = jobs.computeIfAbsent(id, none -> new Job());
    job.paused = false;
    if (!job.runs) {
      job.runs = true;
      running++;
    }
    if (job.left > 0) {
      finish(now + job.left, who, id);
    } else if (!job.calledAlready
        && options.toString().contains("CallsOut")
        && random.nextInt(3) > 0) {
      job.calledAlready = true;
      job.pending = schedule(now + work(now) / 2, event("StalledOnCall", who, id));
    } else {
      finish(now + work(now), who, id);
    }
  }

  private void ask(long now, int who, String id) {
    long took = 10_000L + random.nextInt(random.nextInt(10) == 0 ? 1_500_000 : 120_000);
    JsonObject result = ended("CallResult", who, id, took);
    Job job = jobs.get(id);
    job.waitsAtCall = false;
    job.callUntil = now + took;
    schedule(job.callUntil, result);
    job.pending = orders;
    JsonObject end = ended("Finished", who, id, took);
    long at = now + took + work(now);
    queue.add(new Due(at, job.pending, end));
  }

  /** A run whose request is over ends where it waits: at its call, or paused. */
  private void endRequest(long now, int who, String id) {
    Job job = jobs.get(id);
    if (job != null) {
      job.over = true;
      if (job.waitsAtCall || job.paused) {
        endStopped(now, who, id);
      }
    }
  }

  private void endStopped(long now, int who, String id) {
    Job job = jobs.get(id);
    job.waitsAtCall = false;
    job.paused = false;
    JsonObject event = event("Finished", who, id);
    event.addProperty("Verdict", "CXL");
    job.pending = schedule(now + 5000, event);
  }

  private void finish(long at, int who, String id) {
    Job job = jobs.computeIfAbsent(id, none -> new Job());
    job.left = 0;
    job.waitsAtCall = false;
    job.pending = schedule(at, ended("Finished", who, id, 20_000 + random.nextInt(200_000)));
  }

  private JsonObject ended(String what, int who, String id, long took) {
    JsonObject event = event(what, who, id);
    boolean good = random.nextInt(14) > 0;
    event.addProperty("Verdict", good ? "GOOD" : BAD_ENDS[random.nextInt(BAD_ENDS.length)]);
    if (random.nextInt(8) > 0) {
      event.addProperty("Rtt", took);
    }
    return event;
  }

  private void stop(long now, int who, String id) {
    Job job = jobs.get(id);
    if (job.runs) {
      job.runs = false;
      running--;
    }
    if (suspends && !job.over) {
      job.paused = true;
      job.pending = 0;
      job.left = Math.max(work(now), job.callUntil - now);
    } else {
      endStopped(now, who, id);
    }
  }

  private void timer(long at, int who, JsonObject action) {
    JsonObject fired = event("Fired", who);
    fired.add("Tag", action.get("Tag"));
    JsonArray gauges = new JsonArray();
    JsonObject extra = options.getAsJsonObject("Extra");
    int count = extra.has("Gauges") ? extra.getAsJsonArray("Gauges").size() : 0;
    boolean blind = at > 48 * SECOND && at < 54 * SECOND;
    int how = blind ? 0 : random.nextInt(10);
    for (int place = 0; place < count && how > 1; place++) {
      double busy = Math.min(1, (double) running / CORES);
      double crowd = at > SLOWDOWN && at < SLOWDOWN + 6 * SECOND ? 25 : 0;
      gauges.add(place == 0 ? busy : crowd + random.nextInt(1000) / 100.0);
    }
    if (how > 0) {
      fired.add("Stats", gauges);
    }
    schedule(at, fired);
  }
}
