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
import mothwing.OverloadControl.Controller;
import mothwing.OverloadControl.Outcome;
import mothwing.OverloadControl.Sample;
import mothwing.OverloadControl.Settings;
import mothwing.broker.Caller;
import mothwing.broker.Calls;
import mothwing.broker.Exchange;
import mothwing.lab.Stand;
import mothwing.net.Connection;
import mothwing.pool.Pool;
import mothwing.testing.Undecided;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The recorded lines between the pool client and a pool, and what the client makes of them. */
class PoolWitnessTest {
  private static final long SETTLING = 10_000; // microseconds: events are given in batches

  private final List<EmbeddedChannel> links = new ArrayList<>();
  private final Map<String, Exchange> asked = new HashMap<>();
  private GoldenFile golden;
  private Stand stand;
  private Pool pool;

  @BeforeEach
  void makePool() {
    stand =
        new Stand(
            (settings, host) -> controller(settings),
            of -> {
              pool = new Pool(this::dial, of, of.counters, of.lines::add);
              return pool;
            });
    stand.broker.callWith(new AcceptingCalls());
  }

  @AfterEach
  void closeLinks() {
    links.forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    links.add(stand.open(maker.get()));
  }

  private Controller controller(Settings settings) {
    golden.output("controller made, cold=" + settings.machine().cold());
    return new NotingController();
  }

  /** Takes every call, and leaves its end to the steps. */
  private static final class AcceptingCalls implements Calls {
    @Override
    public boolean make(String id, long limitMs, byte[] content) {
      return true;
    }

    @Override
    public void abandon(String id) {
      // its end is not told
    }
  }

  /** Notes the events that notices lead to. */
  private final class NotingController extends Undecided {
    @Override
    public void started(long now) {
      golden.output("event started " + (stand.now() - now) + " us ago");
    }

    @Override
    public void atCall(long now, String id) {
      golden.output("event at call " + id);
    }

    @Override
    public void finished(long now, String id, Outcome outcome, long took) {
      golden.output("event finished " + id + " " + word(outcome) + " took=" + took);
    }

    @Override
    public void timer(long now, String tag, Sample sample) {
      golden.output(
          "event timer "
              + tag
              + " "
              + (sample.known() ? sample.gauges().toString() : "without gauges"));
    }
  }

  private static String word(Outcome outcome) {
    return switch (outcome) {
      case GOOD -> "well";
      case FAILED -> "badly";
      case STOPPED -> "stopped";
      case MOOT -> "not started";
      default -> "otherwise";
    };
  }

  /** Notes how a request is answered. */
  private final class NotingCaller implements Caller {
    private final String id;

    NotingCaller(String id) {
      this.id = id;
    }

    @Override
    public void served(byte[] result) {
      String text = new String(result, StandardCharsets.ISO_8859_1);
      golden.output("caller " + id + " served '" + GoldenFile.escaped(text) + "'");
    }

    @Override
    public void refused(boolean last, long holdOffMs) {
      golden.output("caller " + id + " refused");
    }

    @Override
    public void failed(String code) {
      golden.output("caller " + id + " failed " + code);
    }
  }

  private EmbeddedChannel newest() {
    return links.get(links.size() - 1);
  }

  private void step(String word, String rest) {
    switch (word) {
      case "link" -> pool.link(stand.broker);
      case "notice" -> newest().writeInbound(buffer(rest + "\\n"));
      case "bytes" -> newest().writeInbound(buffer(rest));
      case "close" -> newest().close();
      case "pass-time" -> stand.pass(Long.parseLong(rest));
      case "timer" -> stand.broker.timer(stand.now(), rest);
      case "check" -> stand.broker.check(true, good -> golden.output("check good=" + good));
      default -> request(word, rest);
    }
    stand.pass(SETTLING);
    for (EmbeddedChannel link : links) {
      golden.outputText("link " + (links.indexOf(link) + 1) + ": ", link);
    }
    golden.output("ready=" + pool.ready() + " open=" + open());
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
      case "start" -> stand.broker.start(id);
      case "halt" -> stand.broker.halt(id);
      case "call" -> stand.broker.call(id, stand.now() + 1_000_000);
      case "call-over" -> stand.broker.callOver(id, Outcome.GOOD, GoldenFile.bytes(words[1]));
      case "skip-call" -> stand.broker.skipCall(id);
      case "spawn" -> pool.spawn(asked.get(id));
      case "suspend" -> pool.suspend(id);
      case "proceed" -> pool.proceed(id);
      case "supply" -> pool.supply(id, GoldenFile.bytes(words[1]));
      case "pass" -> pool.pass(id);
      case "poll" -> pool.poll(id);
      case "verify" -> pool.verify(id);
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
