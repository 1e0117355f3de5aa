package mothwing.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mothwing.control.FreeValue;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.testing.FrontModel;
import mothwing.testing.SettingsVariants;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/** A connection of many requests against the model of its states. */
class FastCgiConnectionTest {
  private static final int PLACES = 8;

  private FrontModel model;

  @BeforeTry
  void anew() {
    model =
        new FrontModel(
            stand -> new FastCgiConnection(stand.broker, stand.lines::add, stand.counters),
            Gateway.FastCgi::new);
  }

  private int status(byte[] request) {
    model.send(request);
    return model.gateway.answers.remove().status();
  }

  private String feedback() {
    model.send(model.gateway.request(1, "/ping", "", Map.of(), new byte[0]));
    return model.gateway.answers.remove().fields().get("Feedback");
  }

  /**
   * Guards against a free value that callers read as something else, or read at all where nothing
   * is to be said.
   */
  @Example
  void theFreeValueLeavesAsTheSettingsInForceMeanIt() {
    Settings level = BrokerFixture.settings(4.5, 2);
    for (FreeValue meaning : FreeValue.values()) {
      String all = meaning == FreeValue.LEVEL ? "0.0" : meaning == FreeValue.SHARE ? "1.0" : null;
      for (Settings now : List.of(SettingsVariants.withFreeValue(level, meaning), level)) {
        model.fixture.broker.applySettings(now);
        for (long span :
            new long[] {0, 200_000}) { // in the same turn, and once the decisions have spoken
          model.fixture.pass(span);
          assertEquals(now == level ? "0.0" : all, feedback(), () -> "as " + meaning);
        }
      }
    }
  }

  @Property(seed = "1764576000")
  void keepsToTheModel(
      @ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
    for (int step : steps) {
      int place = 1 + step / 10 % PLACES;
      switch (step % 10) {
        case 0, 1, 2, 3 -> model.sendRequest(place, step);
        case 4 -> {
          model.abandon(place);
          model.send(Gateway.FastCgi.abort(place));
          model.gateway.answers.removeIf(one -> one.id() == place); // one answer does no harm
        }
        case 5, 6, 7 -> model.endRun(step / 10);
        case 8 -> model.fixture.pass(step * 10L);
        default -> {
          if (step % 50 == 9) {
            model.reopen();
          }
        }
      }
      model.advanceAndCheck(step % 7_000);
    }
    model.checkAllAnswered();
  }

  @Property(seed = "1764576001")
  void anyBytesEndInAnAnswerOrAClose(
      @ForAll @Size(max = 300) byte[] bytes, @ForAll boolean asRecord) {
    model.send(Gateway.FastCgi.begin(3));
    model.send(asRecord ? Gateway.FastCgi.record(4, 3, bytes) : bytes);
    model.send(Gateway.FastCgi.record(4, 3, new byte[0]));
    model.send(Gateway.FastCgi.record(5, 3, new byte[0]));
    model.checkClosed();
  }

  @Example
  void failsARequestThatMakesNoSenseAndKeepsTheConnection() {
    Map<String, String> good = Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS);
    assertEquals(
        413,
        status(model.gateway.request(1, "/call/" + BrokerFixture.LOOK, "", good, new byte[2049])));
    assertEquals(500, status(model.gateway.request(1, "/call/nothing", "", good, new byte[0])));
    assertEquals(400, status(model.gateway.request(1, "/elsewhere", "", good, new byte[0])));
    for (String name :
        List.of("Trace-Id", "Accepted-At-Ms", "Reserve-Kb", "Standing", "Client-No")) {
      for (String text : List.of("NaN", "-1", "", "0x1p-3", "1e400", "0.5f", " 0.5")) {
        Map<String, String> bad = Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS);
        bad.put(name, text);
        assertEquals(
            400,
            status(model.gateway.request(1, "/call/" + BrokerFixture.LOOK, "", bad, new byte[0])),
            name);
      }
    }
    Map<String, String> strange = Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS);
    strange.put("Project", "nobody");
    assertEquals(
        500,
        status(model.gateway.request(1, "/call/" + BrokerFixture.LOOK, "", strange, new byte[0])));
    assertEquals(Map.of(), model.fixture.spawns);
    good.put("Lookup-Key", "k".repeat(9000));
    assertEquals(
        413,
        status(model.gateway.request(1, "/call/" + BrokerFixture.LOOK, "", good, new byte[0])));
    assertEquals(200, status(model.gateway.request(1, "/ping", "probe=1", Map.of(), new byte[0])));
    assertTrue(model.channel.isOpen());
  }

  /**
   * Guards against a wall clock that stepped between the stamp and the reading: the request neither
   * fails at once nor is due hours away.
   */
  @Example
  void aStampOfAnotherHourCountsAsTheMomentItIsRead() {
    int number = 0;
    for (long hours : new long[] {1, -1}) {
      for (RunOutcome end : new RunOutcome[] {RunOutcome.SUCCEEDED, null}) {
        String id = BrokerFixture.id(++number);
        model.send(
            model.gateway.request(
                number,
                "/call/" + BrokerFixture.LOOK,
                "",
                Gateway.fields(id, model.fixture.wallClockMillis() + hours * 3_600_000),
                new byte[0]));
        model.fixture.pass(5_000);
        assertEquals(1, model.fixture.spawns.get(id), "it runs");
        if (end != null) {
          model.fixture.finish(id, end);
        }
        model.fixture.pass(
            end == null ? 4_600_000 : 5_000); // by the deadline from its reading on, and the slack
        model.fixture.read(model.channel, model.gateway);
        assertEquals(end == null ? 500 : 200, model.gateway.answers.remove().status());
      }
    }
    assertEquals(4, model.fixture.counters.get("arrival-times-ignored"));
  }

  @Example
  void closesOnMoreRequestsThanMayBeOpen() {
    for (int id = 1; id <= 33; id++) {
      assertTrue(model.channel.isOpen());
      model.send(Gateway.FastCgi.begin(id));
    }
    assertTrue(model.isClosedWithReason("too-many-open"));
  }

  /**
   * Guards against a body that is answered once it has ended, or is gathered: it may never end, or
   * take 60 MB.
   */
  @Example
  void answersWhatIsTooLargeAtOnceAndClosesOnItsRest() {
    byte[] all =
        model.gateway.request(
            1,
            "/call/" + BrokerFixture.LOOK,
            "",
            Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS),
            new byte[0]);
    byte[] head = {1, 5, 0, 1, (byte) 0xFF, (byte) 0xFF, 0, 0};
    model.send(Arrays.copyOf(all, all.length - 8)); // all but the end of the body
    assertEquals(413, status(head));
    for (int sent = 0; sent < 0xFFFF; sent += 15) {
      model.send(new byte[15]);
      assertTrue(model.channel.isOpen());
    }
    model.send(head);
    assertTrue(model.isClosedWithReason("oversized"));
    assertEquals(Map.of(), model.fixture.spawns);
  }

  @Example
  void answersQuestionsAboutItself() {
    byte[] name = "FCGI_MPXS_CONNS".getBytes(StandardCharsets.UTF_8);
    byte[] pair = new byte[2 + name.length];
    pair[0] = (byte) name.length;
    System.arraycopy(name, 0, pair, 2, name.length);
    model.channel.writeInbound(Unpooled.copiedBuffer(Gateway.FastCgi.record(9, 0, pair)));
    ByteBuf out = model.channel.readOutbound();
    assertEquals(10, out.getByte(1));
    assertEquals('1', out.getByte(out.writerIndex() - 1));
    out.release();
  }
}
