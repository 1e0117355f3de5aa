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

/** Checks the lines between the pool client and a pool, and their effects, against recordings. */
class PoolWitnessTest {

  /** Time after each step, long enough for the events of a batch to be delivered. */
  private static final long SETTLING_MICROS = 10_000;

  private final List<EmbeddedChannel> connections = new ArrayList<>();
  private final Map<String, Exchange> exchanges = new HashMap<>();
  private GoldenFile golden;
  private BrokerFixture fixture;
  private WorkerPoolClient pool;

  @BeforeEach
  void createPool() {
    fixture =
        new BrokerFixture(
            (settings, host) -> createController(settings),
            scheduler -> {
              pool =
                  new WorkerPoolClient(
                      this::dial, scheduler, scheduler.counters, scheduler.lines::add);
              return pool;
            });
    fixture.broker.setDependencyClient(new AcceptingDependency());
  }

  @AfterEach
  void closeConnections() {
    connections.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> factory, Runnable onFailure) {
    connections.add(fixture.open(factory.get()));
  }

  private Controller createController(Settings settings) {
    golden.output("controller made, cold=" + settings.machine().coldStart());
    return new RecordingController();
  }

  /** Accepts every call; the steps end it. */
  private static final class AcceptingDependency implements DependencyClient {
    @Override
    public boolean startCall(String id, long timeoutMillis, byte[] content) {
      return true;
    }

    @Override
    public void abandonCall(String id) {
      // no end is reported for an abandoned call
    }
  }

  /** Records the events that notices cause. */
  private final class RecordingController extends NoDecisionController {
    @Override
    public void serverStarted(long now) {
      golden.output("event started " + (fixture.now() - now) + " us ago");
    }

    @Override
    public void callAwaited(long now, String id) {
      golden.output("event at call " + id);
    }

    @Override
    public void runEnded(long now, String id, RunOutcome outcome, long durationMicros) {
      golden.output(
          "event finished " + id + " " + recordedName(outcome) + " took=" + durationMicros);
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

  private static String recordedName(RunOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> "well";
      case FAILED -> "badly";
      case STOPPED -> "stopped";
      case NOT_STARTED -> "not started";
      default -> "otherwise";
    };
  }

  /** Records how a request is answered. */
  private final class RecordingSink implements ResponseSink {
    private final String id;

    RecordingSink(String id) {
      this.id = id;
    }

    @Override
    public void sendResult(byte[] result) {
      String text = new String(result, StandardCharsets.ISO_8859_1);
      golden.output("caller " + id + " served '" + GoldenFile.escaped(text) + "'");
    }

    @Override
    public void sendRejection(boolean last, long holdOffMillis) {
      golden.output("caller " + id + " refused");
    }

    @Override
    public void sendFailure(String code) {
      golden.output("caller " + id + " failed " + code);
    }
  }

  private EmbeddedChannel newestConnection() {
    return connections.get(connections.size() - 1);
  }

  private void runStep(String command, String argument) {
    switch (command) {
      case "link" -> pool.attach(fixture.broker);
      case "notice" -> newestConnection().writeInbound(buffer(argument + "\\n"));
      case "bytes" -> newestConnection().writeInbound(buffer(argument));
      case "close" -> newestConnection().close();
      case "pass-time" -> fixture.pass(Long.parseLong(argument));
      case "timer" -> fixture.broker.scheduleTimer(fixture.now(), argument);
      case "check" ->
          fixture.broker.healthCheck(true, healthy -> golden.output("check good=" + healthy));
      default -> runRequestStep(command, argument);
    }
    fixture.pass(SETTLING_MICROS);
    for (EmbeddedChannel connection : connections) {
      golden.outputText("link " + (connections.indexOf(connection) + 1) + ": ", connection);
    }
    golden.output("ready=" + pool.isReady() + " open=" + openConnections());
  }

  private static ByteBuf buffer(String escaped) {
    return Unpooled.wrappedBuffer(GoldenFile.bytes(escaped));
  }

  private long openConnections() {
    return connections.stream().filter(EmbeddedChannel::isOpen).count();
  }

  private void runRequestStep(String command, String argument) {
    String[] arguments = argument.split(" ", 3);
    String id = arguments[0];
    switch (command) {
      case "ask" ->
          exchanges.put(
              id,
              fixture.ask(id, arguments[1], GoldenFile.bytes(arguments[2]), new RecordingSink(id)));
      case "start" -> fixture.broker.startRun(id);
      case "halt" -> fixture.broker.stopRun(id);
      case "call" -> fixture.broker.startCall(id, fixture.now() + 1_000_000);
      case "call-over" ->
          fixture.broker.callEnded(id, RunOutcome.SUCCEEDED, GoldenFile.bytes(arguments[1]));
      case "skip-call" -> fixture.broker.skipCall(id);
      case "spawn" -> pool.startRun(exchanges.get(id));
      case "suspend" -> pool.stopRun(id);
      case "proceed" -> pool.resumeRun(id);
      case "supply" -> pool.resumeWithResult(id, GoldenFile.bytes(arguments[1]));
      case "pass" -> pool.resumeWithoutResult(id);
      case "poll" -> pool.requestGauges(id);
      case "verify" -> pool.startHealthCheck(id);
      default -> throw new AssertionError("unknown step " + command);
    }
  }

  @Test
  void writesCommandsAsRecorded() throws IOException {
    golden = new GoldenFile("pool-commands.txt");
    golden.replay(this::runStep);
  }

  @Test
  void readsNoticesAsRecorded() throws IOException {
    golden = new GoldenFile("pool-notices.txt");
    golden.replay(this::runStep);
  }

  @Test
  void recordedCommandsContainExpectedValues() throws IOException {
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
    assertEquals(8, commands.stream().map(command -> command.get("action")).distinct().count());
  }

  private static byte[] content(JsonObject command) {
    return Base64.getDecoder().decode(command.get("content").getAsString());
  }

  private static JsonObject first(List<JsonObject> commands, String action) {
    return commands.stream()
        .filter(command -> command.get("action").getAsString().equals(action))
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
