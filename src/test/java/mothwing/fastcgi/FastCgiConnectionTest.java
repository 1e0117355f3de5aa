package mothwing.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import mothwing.control.FreeValue;
import mothwing.control.RunOutcome;
import mothwing.control.Settings;
import mothwing.testing.FrontModel;
import mothwing.testing.SettingsVariants;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/** Compares a connection with many concurrent requests to the model of its states. */
class FastCgiConnectionTest {
  private static final int REQUEST_IDS = 8;

  private FrontModel model;

  @BeforeTry
  void createModel() {
    model =
        new FrontModel(
            fixture -> new FastCgiConnection(fixture.broker, fixture.lines::add, fixture.counters),
            Gateway.FastCgi::new);
  }

  private int status(byte[] request) {
    model.send(request);
    return model.gateway.answers.remove().status();
  }

  private String freeValue() {
    model.send(model.gateway.request(1, "/ping", "", Map.of(), new byte[0]));
    return model.gateway.answers.remove().fields().get("Feedback");
  }

  /**
   * Guards against a free value that is encoded with a meaning other than that of the current
   * settings, or is sent although the settings define none.
   */
  @Example
  void encodesFreeValueAsCurrentSettingsDefine() {
    Settings level = BrokerFixture.settings(4.5, 2);
    for (FreeValue meaning : FreeValue.values()) {
      String unloadedValue =
          meaning == FreeValue.LEVEL ? "0.0" : meaning == FreeValue.SHARE ? "1.0" : null;
      for (Settings settings : List.of(SettingsVariants.withFreeValue(level, meaning), level)) {
        model.fixture.broker.applySettings(settings);
        // At once, and after the controller has published a value.
        for (long elapsedMicros : new long[] {0, 200_000}) {
          model.fixture.pass(elapsedMicros);
          assertEquals(
              settings == level ? "0.0" : unloadedValue, freeValue(), () -> "meaning " + meaning);
        }
      }
    }
  }

  @Property(seed = "1764576000")
  void behavesLikeModel(
      @ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
    for (int step : steps) {
      int requestId = 1 + step / 10 % REQUEST_IDS;
      switch (step % 10) {
        case 0, 1, 2, 3 -> model.sendRequest(requestId, step);
        case 4 -> {
          model.abandon(requestId);
          model.send(Gateway.FastCgi.abort(requestId));
          // An aborted request may still get its one response; the model does not expect it.
          model.gateway.answers.removeIf(answer -> answer.id() == requestId);
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
  void answersOrClosesOnArbitraryBytes(
      @ForAll @Size(max = 300) byte[] bytes, @ForAll boolean asRecord) {
    model.send(Gateway.FastCgi.begin(3));
    model.send(asRecord ? Gateway.FastCgi.record(4, 3, bytes) : bytes);
    model.send(Gateway.FastCgi.record(4, 3, new byte[0]));
    model.send(Gateway.FastCgi.record(5, 3, new byte[0]));
    model.checkClosed();
  }

  @Example
  void rejectsInvalidRequestsAndKeepsConnection() {
    Map<String, String> fields = Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS);
    assertEquals(
        413,
        status(
            model.gateway.request(1, "/call/" + BrokerFixture.LOOK, "", fields, new byte[2049])));
    assertEquals(500, status(model.gateway.request(1, "/call/nothing", "", fields, new byte[0])));
    assertEquals(400, status(model.gateway.request(1, "/elsewhere", "", fields, new byte[0])));
    for (String name :
        List.of("Trace-Id", "Accepted-At-Ms", "Reserve-Kb", "Standing", "Client-No")) {
      for (String text : List.of("NaN", "-1", "", "0x1p-3", "1e400", "0.5f", " 0.5")) {
        Map<String, String> invalidFields =
            Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS);
        invalidFields.put(name, text);
        assertEquals(
            400,
            status(
                model.gateway.request(
                    1, "/call/" + BrokerFixture.LOOK, "", invalidFields, new byte[0])),
            name);
      }
    }
    Map<String, String> unknownTenant = Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS);
    unknownTenant.put("Project", "nobody");
    assertEquals(
        500,
        status(
            model.gateway.request(
                1, "/call/" + BrokerFixture.LOOK, "", unknownTenant, new byte[0])));
    assertEquals(Map.of(), model.fixture.spawns);
    fields.put("Lookup-Key", "k".repeat(9000));
    assertEquals(
        413,
        status(model.gateway.request(1, "/call/" + BrokerFixture.LOOK, "", fields, new byte[0])));
    assertEquals(200, status(model.gateway.request(1, "/ping", "probe=1", Map.of(), new byte[0])));
    assertTrue(model.channel.isOpen());
  }

  /**
   * Guards against a wall clock that was stepped between the arrival at the gateway and the
   * reading: the request must neither fail at once nor get a deadline hours away.
   */
  @Example
  void ignoresArrivalTimeOfSteppedClock() {
    int number = 0;
    for (long hours : new long[] {1, -1}) {
      for (RunOutcome outcome : new RunOutcome[] {RunOutcome.SUCCEEDED, null}) {
        String id = BrokerFixture.id(++number);
        model.send(
            model.gateway.request(
                number,
                "/call/" + BrokerFixture.LOOK,
                "",
                Gateway.fields(id, model.fixture.wallClockMillis() + hours * 3_600_000),
                new byte[0]));
        model.fixture.pass(5_000);
        assertEquals(1, model.fixture.spawns.get(id), "the request runs");
        if (outcome != null) {
          model.fixture.finish(id, outcome);
        }
        // Without an outcome, wait until the deadline, counted from the time of reading, plus the
        // answer slack.
        model.fixture.pass(outcome == null ? 4_600_000 : 5_000);
        model.fixture.read(model.channel, model.gateway);
        assertEquals(outcome == null ? 500 : 200, model.gateway.answers.remove().status());
      }
    }
    assertEquals(4, model.fixture.counters.get("arrival-times-ignored"));
  }

  @Example
  void closesConnectionWithTooManyOpenRequests() {
    for (int id = 1; id <= 33; id++) {
      assertTrue(model.channel.isOpen());
      model.send(Gateway.FastCgi.begin(id));
    }
    assertTrue(model.isClosedWithReason("too-many-open"));
  }

  /**
   * Guards against an oversized body that is rejected only at its end, or is buffered: it may never
   * end, or take 60 MB.
   */
  @Example
  void rejectsOversizedBodyAtOnceAndClosesOnItsRemainder() {
    byte[] request =
        model.gateway.request(
            1,
            "/call/" + BrokerFixture.LOOK,
            "",
            Gateway.fields(BrokerFixture.id(1), BrokerFixture.WALL_MS),
            new byte[0]);
    byte[] header = {1, 5, 0, 1, (byte) 0xFF, (byte) 0xFF, 0, 0};
    // Without the record that ends the body.
    model.send(Arrays.copyOf(request, request.length - 8));
    assertEquals(413, status(header));
    for (int sent = 0; sent < 0xFFFF; sent += 15) {
      model.send(new byte[15]);
      assertTrue(model.channel.isOpen());
    }
    model.send(header);
    assertTrue(model.isClosedWithReason("oversized"));
    assertEquals(Map.of(), model.fixture.spawns);
  }

  @Example
  void answersGetValues() {
    byte[] pair = nameValuePair("FCGI_MPXS_CONNS");
    model.channel.writeInbound(Unpooled.copiedBuffer(Gateway.FastCgi.record(9, 0, pair)));
    ByteBuf out = model.channel.readOutbound();
    assertEquals(10, out.getByte(1));
    assertEquals('1', out.getByte(out.writerIndex() - 1));
    out.release();
  }

  /**
   * Guards against a leak of the buffers for an answer to a management record that turns out to be
   * malformed: some thousand of them would use up all direct memory.
   */
  @Example
  void releasesBuffersOfMalformedManagementRecords() {
    ByteArrayOutputStream valid = new ByteArrayOutputStream();
    for (int i = 0; i < 500; i++) {
      valid.writeBytes(nameValuePair("FCGI_MAX_CONNS"));
    }
    byte[] truncatedLength = {(byte) 0x80, 0};
    byte[] truncatedName = {100, 0};
    for (byte[] malformed : List.of(truncatedLength, truncatedName)) {
      for (byte[] prefix : List.of(new byte[0], valid.toByteArray())) {
        byte[] content = Arrays.copyOf(prefix, prefix.length + malformed.length);
        System.arraycopy(malformed, 0, content, prefix.length, malformed.length);
        model.send(Gateway.FastCgi.record(9, 0, content));
        assertTrue(model.isClosedWithReason("malformed"));
        assertEquals(0, model.bufferedBytes());
        model.reopen();
      }
    }
  }

  /**
   * Guards against a connection that is closed after the answer to a request that asks for it,
   * while the answers to others are pending.
   */
  @Example
  void answersAllRequestsBeforeTheCloseThatOneAsksFor() {
    byte[] closing = order(1);
    closing[10] = 0; // the flag that keeps the connection
    model.send(closing);
    model.send(order(2));
    model.fixture.pass(10_000);
    for (int id = 1; id <= 2; id++) {
      assertTrue(model.channel.isOpen());
      model.fixture.finish(BrokerFixture.id(id), RunOutcome.SUCCEEDED);
      model.fixture.pass(1);
      model.fixture.read(model.channel, model.gateway);
      assertEquals(200, model.gateway.answers.remove().status());
    }
    assertTrue(model.isClosedWithReason("asked"));
  }

  /**
   * Guards against complete requests that have no answer because of what follows them on their
   * connection.
   */
  @Example
  void failsPendingRequestsBeforeItClosesOverInvalidInput() {
    byte[] tooManyOpen = new byte[0];
    for (int id = 100; id < 131; id++) {
      byte[] begin = Gateway.FastCgi.begin(id);
      tooManyOpen = Arrays.copyOf(tooManyOpen, tooManyOpen.length + begin.length);
      System.arraycopy(begin, 0, tooManyOpen, tooManyOpen.length - begin.length, begin.length);
    }
    byte[] oversized =
        Arrays.copyOf(new byte[] {1, 5, 0, 99, (byte) 0xFF, (byte) 0xFF}, 8 + 0xFFFF);
    byte[] oversizedTwice = Arrays.copyOf(oversized, 3 * oversized.length);
    System.arraycopy(oversized, 0, oversizedTwice, oversized.length, oversized.length);
    System.arraycopy(oversized, 0, oversizedTwice, 2 * oversized.length, oversized.length);
    Map<String, byte[]> inputs =
        Map.of(
            "malformed", new byte[] {2, 0, 0, 0, 0, 0, 0, 0},
            "too-many-open", tooManyOpen,
            "oversized", oversizedTwice);
    int id = 0;
    for (Map.Entry<String, byte[]> input : inputs.entrySet()) {
      int first = ++id;
      int second = ++id;
      model.send(order(first));
      model.send(order(second));
      model.fixture.pass(10_000);
      assertEquals(2, model.fixture.running.size());
      model.send(input.getValue());
      assertEquals(
          Set.of(first, second),
          model.gateway.answers.stream().map(Answer::id).collect(Collectors.toSet()));
      assertTrue(model.gateway.answers.stream().allMatch(answer -> answer.status() == 500));
      assertEquals(2, model.gateway.answers.size());
      assertTrue(model.isClosedWithReason(input.getKey()));
      model.fixture.pass(10_000);
      assertEquals(Map.of(), model.fixture.running, "a run continues without a caller");
      assertEquals(0, model.fixture.broker.pendingCount());
      model.reopen();
    }
    assertEquals(2L * inputs.size(), model.fixture.counters.get("fastcgi-failed-at-close"));
  }

  private byte[] order(int id) {
    return model.gateway.request(
        id,
        "/call/" + BrokerFixture.ORDER,
        "",
        Gateway.fields(BrokerFixture.id(id), model.fixture.wallClockMillis()),
        new byte[20]);
  }

  /** Guards against received bytes that are never released because no memory is left for more. */
  @Example
  void releasesReceivedBytesThatCannotBeBuffered() {
    model.send(order(1));
    model.fixture.pass(10_000);
    byte[] record = Gateway.FastCgi.begin(1);
    model.send(Arrays.copyOf(record, 3));
    model.channel.config().setAllocator(new ExhaustedAllocator());
    ByteBuf received = Unpooled.copiedBuffer(record, 3, 3);
    model.channel.writeInbound(received);
    assertEquals(0, received.refCnt());
    assertTrue(model.isClosedWithReason("fault"));
    model.fixture.pass(10_000);
    assertEquals(Map.of(), model.fixture.running, "a run continues without a caller");
  }

  /** An allocator with no memory left. */
  private static final class ExhaustedAllocator extends AbstractByteBufAllocator {
    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
      throw new OutOfMemoryError("injected");
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
      throw new OutOfMemoryError("injected");
    }

    @Override
    public boolean isDirectBufferPooled() {
      return false;
    }
  }

  /**
   * Guards against decoding that leaves a buffer behind on any input to the management records,
   * whole or cut.
   */
  @Property(seed = "1764576102")
  void releasesBuffersOnArbitraryManagementRecords(
      @ForAll @IntRange(min = 1, max = 12) int type,
      @ForAll @Size(max = 300) byte[] content,
      @ForAll @IntRange(max = 310) int cut) {
    byte[] record = Gateway.FastCgi.record(type, 0, content);
    model.send(Arrays.copyOf(record, Math.min(cut, record.length)));
    model.send(Gateway.FastCgi.record(9, 0, nameValuePair("FCGI_MAX_REQS")));
    model.checkClosed();
  }

  private static byte[] nameValuePair(String name) {
    byte[] pair = new byte[2 + name.length()];
    pair[0] = (byte) name.length();
    System.arraycopy(name.getBytes(StandardCharsets.US_ASCII), 0, pair, 2, name.length());
    return pair;
  }
}
