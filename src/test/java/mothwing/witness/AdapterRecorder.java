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
 * Records the files of {@link AdapterWitnessTest} and the messages of {@link SettingsWitnessTest}.
 * It simulates two instances that use the adapter, with a seeded random load that responds to the
 * actions, and records both directions.
 *
 * <p>Run it only after an intended change of the decisions: {@code AdapterRecorder FOLDER}, with
 * the test classes on the class path. Run it twice, since the list of kinds is made from the
 * recordings on the class path.
 */
final class AdapterRecorder {
  private static final long SECOND = 1_000_000;
  private static final long BATCH_MICROS = 20_000;
  private static final long SLOWDOWN_AT = 35 * SECOND;
  private static final long SHUTDOWN_NOTICE_AT = 62 * SECOND;
  private static final long REPLACEMENT_AT = 66 * SECOND;
  private static final long END_AT = 75 * SECOND;
  private static final int CORES = 2;
  private static final String[] FAILURE_VERDICTS = {
    "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP"
  };

  private record ScheduledEvent(long at, long order, JsonObject event) {}

  /** The state of a request as the load generator sees it. */
  private static final class Job {
    private boolean running;
    private boolean hasCalled;
    private boolean awaitsCall;
    private boolean paused;
    private boolean ended;
    private long callEndsAt;

    /** The order of the last scheduled event, so that a stop cancels an earlier end of the run. */
    private long lastEventOrder;

    private long remainingMicros;
  }

  private final PriorityQueue<ScheduledEvent> queue =
      new PriorityQueue<>(
          (first, second) ->
              first.at() != second.at()
                  ? Long.compare(first.at(), second.at())
                  : Long.compare(first.order(), second.order()));
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<String> originalIds = new ArrayList<>();
  private final JsonObject options;
  private final Random random;
  private final boolean suspendsRuns;
  private long lastOrder;
  private int runningCount;
  private int submittedCount;

  private AdapterRecorder(JsonObject options, long seed) {
    this.options = options;
    this.random = new Random(seed);
    this.suspendsRuns = options.toString().contains("suspend");
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    long seed = 11;
    for (String variant : AdapterWitnessTest.VARIANTS) {
      JsonObject options =
          JsonParser.parseString(Files.readString(folder.resolve(variant + "-settings.json")))
              .getAsJsonObject();
      new AdapterRecorder(options, seed++).record(folder, variant);
    }
    Files.writeString(folder.resolve("kinds.txt"), AdapterWitnessTest.kinds());
    Files.writeString(folder.resolve("bad-lines.txt"), AdapterWitnessTest.malformedLines());
    Files.writeString(
        folder.resolveSibling("settings").resolve("bad-values.txt"),
        SettingsWitnessTest.invalidValues());
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
      scheduleScenario();
      while (!queue.isEmpty() && queue.peek().at() < END_AT) {
        String line = nextBatch();
        toAdapter.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        toAdapter.flush();
        String reply = replies.readLine();
        inputs.add(line);
        outputs.add(reply);
        applyActions(
            JsonParser.parseString(line).getAsJsonObject().get("SimTime").getAsLong(), reply);
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

  private void scheduleScenario() {
    powerOn(0, 1);
    powerOn(0, 2);
    for (long at = BATCH_MICROS; at < END_AT; at += nextGapMicros(at)) {
      submit(at, at < REPLACEMENT_AT ? 1 + random.nextInt(2) : 1);
    }
    JsonObject notice = event("Sigterm", 2);
    notice.addProperty("ValidUntil", SHUTDOWN_NOTICE_AT + 3 * SECOND);
    schedule(SHUTDOWN_NOTICE_AT, notice);
    schedule(REPLACEMENT_AT - BATCH_MICROS, event("Detach", 2));
    powerOn(REPLACEMENT_AT, 2);
  }

  /**
   * Returns a random gap to the next request. The load is light, twice the capacity of the cores
   * from 15 s to 45 s, then light again.
   */
  private long nextGapMicros(long at) {
    double perSecond = at > 15 * SECOND && at < 45 * SECOND ? 60 : 14;
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
  }

  private void powerOn(long at, int instance) {
    JsonObject start = event("PowerOn", instance);
    start.addProperty("Seed", 5 + instance);
    start.add("Options", options);
    schedule(at, start);
  }

  private static JsonObject event(String kind, int instance) {
    JsonObject event = new JsonObject();
    event.addProperty("what", kind);
    event.addProperty("Who", instance);
    return event;
  }

  private static JsonObject event(String kind, int instance, String id) {
    JsonObject event = event(kind, instance);
    event.addProperty("Job", id);
    return event;
  }

  private long schedule(long at, JsonObject event) {
    queue.add(new ScheduledEvent(at, ++lastOrder, event));
    return lastOrder;
  }

  private void submit(long at, int instance) {
    String id = String.format("%08x", 0xa000 + submittedCount++);
    JsonObject event = event("Submit", instance, id);
    JsonArray classes = options.getAsJsonArray("Classes");
    JsonObject requestClass = classes.get(random.nextInt(classes.size())).getAsJsonObject();
    event.add("Band", requestClass.get("Name"));
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
      int index = random.nextInt(tenants.size() + 1);
      event.addProperty(
          "Team",
          index < tenants.size()
              ? tenants.get(index).getAsJsonObject().get("Name").getAsString()
              : "nobody");
    }
    addIdempotency(event, requestClass, id);
    schedule(at, event);
    if (random.nextInt(12) == 0) {
      schedule(at + random.nextInt(1_500_000), event("Abandoned", instance, id));
    }
  }

  private void addIdempotency(JsonObject event, JsonObject requestClass, String id) {
    String idempotency = requestClass.get("Idempotency").getAsString();
    if (idempotency.equals("guarded")) {
      boolean repeats = !originalIds.isEmpty() && random.nextInt(5) == 0;
      if (repeats) {
        int recent = Math.min(originalIds.size(), 40);
        event.addProperty(
            "Forerunner", originalIds.get(originalIds.size() - 1 - random.nextInt(recent)));
      } else {
        event.addProperty("Forerunner", 0);
        originalIds.add(id);
      }
      event.addProperty("Mutates", true);
    } else if (idempotency.equals("free")) {
      event.addProperty("Affinity", "subject-" + random.nextInt(25));
    } else {
      event.addProperty("Mutates", true);
    }
  }

  /** Returns the events of the next batch interval, with the time of its end. */
  private String nextBatch() {
    long now = (queue.peek().at() / BATCH_MICROS + 1) * BATCH_MICROS;
    JsonArray events = new JsonArray();
    while (!queue.isEmpty() && queue.peek().at() < now) {
      ScheduledEvent next = queue.poll();
      String id = next.event().has("Job") ? next.event().get("Job").getAsString() : "";
      String kind = next.event().get("what").getAsString();
      Job job = jobs.get(id);
      if (job != null
          && job.lastEventOrder != next.order()
          && (kind.equals("Finished") || kind.equals("StalledOnCall"))) {
        continue;
      }
      if (job != null && kind.equals("Finished") && job.running) {
        job.running = false;
        runningCount--;
      }
      events.add(next.event());
      if (job != null && kind.equals("StalledOnCall")) {
        job.awaitsCall = true;
      }
      if (kind.equals("Abandoned")) {
        endRequest(now, next.event().get("Who").getAsInt(), id);
      }
    }
    JsonObject batch = new JsonObject();
    batch.addProperty("SimTime", now);
    batch.add("in", events);
    return batch.toString();
  }

  private void applyActions(long now, String reply) {
    for (var element : JsonParser.parseString(reply).getAsJsonObject().getAsJsonArray("out")) {
      JsonObject action = element.getAsJsonObject();
      int instance = action.get("Who").getAsInt();
      String id = action.has("Job") ? action.get("Job").getAsString() : "";
      switch (action.get("what").getAsString()) {
        case "Start" -> startRun(now, instance, id);
        case "AskBelow" -> startCall(now, instance, id);
        case "Omit" -> scheduleFinish(now + workMicros(now), instance, id);
        case "Replay" -> scheduleFinish(now + 1000, instance, id);
        case "Preempt" -> stopRun(now, instance, id);
        case "EndFailed" -> endRequest(now, instance, id);
        case "Timer" ->
            scheduleTimer(Math.max(now, action.get("Time").getAsLong()), instance, action);
        default -> {}
      }
    }
  }

  /**
   * Returns a random duration of a run, longer when runs share the cores and during the slowdown.
   */
  private long workMicros(long now) {
    double runsPerCore = Math.max(1, (double) runningCount / CORES);
    double slowdownFactor = now > SLOWDOWN_AT && now < SLOWDOWN_AT + 6 * SECOND ? 4 : 1;
    return (long) ((15_000 + random.nextInt(130_000)) * runsPerCore * slowdownFactor);
  }

  private void startRun(long now, int instance, String id) {
    Job job = jobs.computeIfAbsent(id, absent -> new Job());
    job.paused = false;
    if (!job.running) {
      job.running = true;
      runningCount++;
    }
    if (job.remainingMicros > 0) {
      scheduleFinish(now + job.remainingMicros, instance, id);
    } else if (!job.hasCalled && options.toString().contains("CallsOut") && random.nextInt(3) > 0) {
      job.hasCalled = true;
      job.lastEventOrder =
          schedule(now + workMicros(now) / 2, event("StalledOnCall", instance, id));
    } else {
      scheduleFinish(now + workMicros(now), instance, id);
    }
  }

  private void startCall(long now, int instance, String id) {
    long durationMicros = 10_000L + random.nextInt(random.nextInt(10) == 0 ? 1_500_000 : 120_000);
    JsonObject result = endEvent("CallResult", instance, id, durationMicros);
    Job job = jobs.get(id);
    job.awaitsCall = false;
    job.callEndsAt = now + durationMicros;
    schedule(job.callEndsAt, result);
    job.lastEventOrder = lastOrder;
    JsonObject end = endEvent("Finished", instance, id, durationMicros);
    long at = now + durationMicros + workMicros(now);
    queue.add(new ScheduledEvent(at, job.lastEventOrder, end));
  }

  /** Ends a request, and its run if that awaits a call or is paused. */
  private void endRequest(long now, int instance, String id) {
    Job job = jobs.get(id);
    if (job != null) {
      job.ended = true;
      if (job.awaitsCall || job.paused) {
        scheduleStoppedEnd(now, instance, id);
      }
    }
  }

  private void scheduleStoppedEnd(long now, int instance, String id) {
    Job job = jobs.get(id);
    job.awaitsCall = false;
    job.paused = false;
    JsonObject event = event("Finished", instance, id);
    event.addProperty("Verdict", "CXL");
    job.lastEventOrder = schedule(now + 5000, event);
  }

  private void scheduleFinish(long at, int instance, String id) {
    Job job = jobs.computeIfAbsent(id, absent -> new Job());
    job.remainingMicros = 0;
    job.awaitsCall = false;
    job.lastEventOrder =
        schedule(at, endEvent("Finished", instance, id, 20_000 + random.nextInt(200_000)));
  }

  private JsonObject endEvent(String kind, int instance, String id, long durationMicros) {
    JsonObject event = event(kind, instance, id);
    boolean succeeded = random.nextInt(14) > 0;
    event.addProperty(
        "Verdict", succeeded ? "GOOD" : FAILURE_VERDICTS[random.nextInt(FAILURE_VERDICTS.length)]);
    if (random.nextInt(8) > 0) {
      event.addProperty("Rtt", durationMicros);
    }
    return event;
  }

  private void stopRun(long now, int instance, String id) {
    Job job = jobs.get(id);
    if (job.running) {
      job.running = false;
      runningCount--;
    }
    if (suspendsRuns && !job.ended) {
      job.paused = true;
      job.lastEventOrder = 0;
      job.remainingMicros = Math.max(workMicros(now), job.callEndsAt - now);
    } else {
      scheduleStoppedEnd(now, instance, id);
    }
  }

  private void scheduleTimer(long at, int instance, JsonObject action) {
    JsonObject fired = event("Fired", instance);
    fired.add("Tag", action.get("Tag"));
    JsonArray gauges = new JsonArray();
    JsonObject extra = options.getAsJsonObject("Extra");
    int count = extra.has("Gauges") ? extra.getAsJsonArray("Gauges").size() : 0;
    boolean gaugesMissing = at > 48 * SECOND && at < 54 * SECOND;
    int draw = gaugesMissing ? 0 : random.nextInt(10);
    for (int index = 0; index < count && draw > 1; index++) {
      double busyRatio = Math.min(1, (double) runningCount / CORES);
      double slowdownLoad = at > SLOWDOWN_AT && at < SLOWDOWN_AT + 6 * SECOND ? 25 : 0;
      gauges.add(index == 0 ? busyRatio : slowdownLoad + random.nextInt(1000) / 100.0);
    }
    if (draw > 0) {
      fired.add("Stats", gauges);
    }
    schedule(at, fired);
  }
}
