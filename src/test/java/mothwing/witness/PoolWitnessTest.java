package mothwing.witness;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mothwing.broker.DependencyClient;
import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;
import mothwing.control.Controller;
import mothwing.control.GaugeSample;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.net.Connection;
import mothwing.pool.WorkerPoolClient;
import mothwing.testing.NoDecisionController;
import mothwing.trial.BrokerFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The recorded lines between the pool client and a pool, and what the client makes of them. */
class PoolWitnessTest {
  private static final long SETTLING = 10_000; // microseconds: events are given in batches

  private final List<EmbeddedChannel> links = new ArrayList<>();
  private final Map<String, Exchange> asked = new HashMap<>();
  private GoldenFile golden;
  private BrokerFixture stand;
  private WorkerPoolClient pool;

  @BeforeEach
  void makePool() {
    stand =
        new BrokerFixture(
            (settings, host) -> controller(settings),
            of -> {
              pool = new WorkerPoolClient(this::dial, of, of.counters, of.lines::add);
              return pool;
            });
    stand.broker.setDependencyClient(new AcceptingCalls());
  }

  @AfterEach
  void closeLinks() {
    links.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    links.add(stand.open(maker.get()));
  }

  private Controller controller(Settings settings) {
    golden.output("controller made, cold=" + settings.machine().coldStart());
    return new NotingController();
  }

  /** Takes every call, and leaves its end to the steps. */
  private static final class AcceptingCalls implements DependencyClient {
    @Override
    public boolean startCall(String id, long limitMs, byte[] content) {
      return true;
    }

    @Override
    public void abandonCall(String id) {
      // its end is not told
    }
  }

  /** Notes the events that notices lead to. */
  private final class NotingController extends NoDecisionController {
    @Override
    public void serverStarted(long now) {
      golden.output("event started " + (stand.now() - now) + " us ago");
    }

    @Override
    public void callAwaited(long now, String id) {
      golden.output("event at call " + id);
    }

    @Override
    public void runEnded(long now, String id, RunOutcome outcome, long took) {
      golden.output("event finished " + id + " " + word(outcome) + " took=" + took);
    }

    @Override
    public void timerFired(long now, String tag, GaugeSample sample) {
      golden.output(
          "event timer "
              + tag
              + " "
              + (sample.isKnown() ? sample.gauges().toString() : "without gauges"));
    }
  }

  private static String word(RunOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> "well";
      case FAILED -> "badly";
      case STOPPED -> "stopped";
      case NOT_STARTED -> "not started";
      default -> "otherwise";
    };
  }

  /** Notes how a request is answered. */
  private final class NotingCaller implements ResponseSink {
    private final String id;

    NotingCaller(String id) {
      this.id = id;
    }

    @Override
    public void sendResult(byte[] result) {
      String text = new String(result, StandardCharsets.ISO_8859_1);
      golden.output("caller " + id + " served '" + GoldenFile.escaped(text) + "'");
    }

    @Override
    public void sendRejection(boolean last, long holdOffMs) {
      golden.output("caller " + id + " refused");
    }

    @Override
    public void sendFailure(String code) {
      golden.output("caller " + id + " failed " + code);
    }
  }

  private EmbeddedChannel newest() {
    return links.get(links.size() - 1);
  }

  private void step(String word, String rest) {
    switch (word) {
      case "link" -> pool.attach(stand.broker);
      case "notice" -> newest().writeInbound(buffer(rest + "\\n"));
      case "bytes" -> newest().writeInbound(buffer(rest));
      case "close" -> newest().close();
      case "pass-time" -> stand.pass(Long.parseLong(rest));
      case "timer" -> stand.broker.scheduleTimer(stand.now(), rest);
      case "check" -> stand.broker.healthCheck(true, good -> golden.output("check good=" + good));
      default -> request(word, rest);
    }
    stand.pass(SETTLING);
    for (EmbeddedChannel link : links) {
      golden.outputText("link " + (links.indexOf(link) + 1) + ": ", link);
    }
    golden.output("ready=" + pool.isReady() + " open=" + open());
  }

  private static ByteBuf buffer(String escaped) {
    return Unpooled.wrappedBuffer(GoldenFile.bytes(escaped));
  }

  private long open() {
    return links.stream().filter(EmbeddedChannel::isOpen).count();
  }

  private void request(String word, String rest) {
    String[] words = rest.split(" ", 3);
    String id = words[0];
    switch (word) {
      case "ask" ->
          asked.put(id, stand.ask(id, words[1], GoldenFile.bytes(words[2]), new NotingCaller(id)));
      case "start" -> stand.broker.startRun(id);
      case "halt" -> stand.broker.stopRun(id);
      case "call" -> stand.broker.startCall(id, stand.now() + 1_000_000);
      case "call-over" ->
          stand.broker.callEnded(id, RunOutcome.SUCCEEDED, GoldenFile.bytes(words[1]));
      case "skip-call" -> stand.broker.skipCall(id);
      case "spawn" -> pool.startRun(asked.get(id));
      case "suspend" -> pool.stopRun(id);
      case "proceed" -> pool.resumeRun(id);
      case "supply" -> pool.resumeWithResult(id, GoldenFile.bytes(words[1]));
      case "pass" -> pool.resumeWithoutResult(id);
      case "poll" -> pool.requestGauges(id);
      case "verify" -> pool.startHealthCheck(id);
      default -> throw new AssertionError("no step " + word);
    }
  }

  @Test
  void commandsAreWrittenAsRecorded() throws IOException {
    golden = new GoldenFile("pool-commands.txt");
    golden.replay(this::step);
  }

  @Test
  void noticesAreReadAsRecorded() throws IOException {
    golden = new GoldenFile("pool-notices.txt");
    golden.replay(this::step);
  }

  @Test
  void recordedCommandsHoldTheValuesThatTheyWereWrittenWith() throws IOException {
    List<JsonObject> commands = commands();
    JsonObject bind = first(commands, "bind");
    assertEquals(0, bind.get("pos").getAsLong());
    JsonObject spawn = first(commands, "spawn");
    assertEquals("0000000000000001", spawn.get("uid").getAsString());
    assertEquals("stock-check", spawn.get("lane").getAsString());
    assertArrayEquals(GoldenFile.bytes("a body\\0\\377"), content(spawn));
    assertEquals("0000000000000001", first(commands, "suspend").get("uid").getAsString());
    assertEquals("0000000000000001", first(commands, "proceed").get("uid").getAsString());
    assertEquals("0000000000000001", first(commands, "pass").get("uid").getAsString());
    JsonObject supply = first(commands, "supply");
    assertEquals("0000000000000001", supply.get("uid").getAsString());
    assertArrayEquals(GoldenFile.bytes("result\\377"), content(supply));
    assertEquals("bind", first(commands, "poll").get("echo").getAsString());
    assertEquals("v1", first(commands, "verify").get("echo").getAsString());
    assertEquals(8, commands.stream().map(one -> one.get("action")).distinct().count());
  }

  private static byte[] content(JsonObject command) {
    return Base64.getDecoder().decode(command.get("content").getAsString());
  }

  private static JsonObject first(List<JsonObject> commands, String action) {
    return commands.stream()
        .filter(one -> one.get("action").getAsString().equals(action))
        .findFirst()
        .orElseThrow();
  }

  private static List<JsonObject> commands() throws IOException {
    return new GoldenFile("pool-commands.txt")
        .outputs().stream()
            .filter(line -> line.startsWith("link "))
            .map(line -> line.substring(line.indexOf(": ") + 2))
            .flatMap(text -> text.translateEscapes().lines())
            .map(line -> JsonParser.parseString(line).getAsJsonObject())
            .toList();
  }
}
