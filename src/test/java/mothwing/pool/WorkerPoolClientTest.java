package mothwing.pool;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import mothwing.broker.Exchange;
import mothwing.broker.ResponseSink;
import mothwing.net.Connection;
import mothwing.trial.BrokerFixture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Tests the client against a model of the pool, with connections that break at any moment. */
class WorkerPoolClientTest {
  private BrokerFixture fixture;
  private WorkerPoolClient pool;
  private EmbeddedChannel channel;
  private List<EmbeddedChannel> channels;
  private int remainingRefusals;
  private Supplier<? extends Connection> obsoleteFactory;
  private List<String> notices;
  private Set<String> running;
  private Set<String> paused;
  private Map<String, Integer> runs;
  private Map<String, String> answers;

  /** The requests that their callers have cancelled. */
  private Set<String> cancelled;

  private int submitted;

  /** Whether the pool has accepted the current connection. */
  private boolean accepted;

  @BeforeTry
  void setUp() {
    notices = new ArrayList<>();
    running = new LinkedHashSet<>();
    paused = new LinkedHashSet<>();
    runs = new HashMap<>();
    answers = new HashMap<>();
    cancelled = new LinkedHashSet<>();
    submitted = 0;
    channels = new ArrayList<>();
    remainingRefusals = 0;
    obsoleteFactory = null;
    fixture =
        new BrokerFixture(
            owner -> {
              pool = new WorkerPoolClient(this::connect, owner, owner.counters, owner.lines::add);
              return pool;
            });
    pool.attach(fixture.broker);
  }

  @AfterTry
  void tearDown() {
    List.copyOf(channels).forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void connect(Supplier<? extends Connection> connectionFactory, Runnable failed) {
    if (remainingRefusals > 0) {
      remainingRefusals--;
      failed.run();
      return;
    }
    Connection connection = connectionFactory.get();
    accepted = false;
    channel = fixture.open(connection);
    channels.add(channel);
  }

  /** Moves the pool to a new address that refuses the first connection attempts. */
  private void changeAddress(int refusals) {
    remainingRefusals = refusals;
    pool.changeAddress(this::connect);
  }

  /** Lets the pool read and answer all commands on the connection. */
  private void processCommands() {
    channel.runPendingTasks();
    ByteBuf out;
    while (channel.isOpen() && (out = channel.readOutbound()) != null) {
      String text = out.toString(StandardCharsets.UTF_8);
      out.release();
      text.lines().forEach(line -> handleCommand(JsonParser.parseString(line).getAsJsonObject()));
    }
  }

  private void handleCommand(JsonObject command) {
    String id = command.has("uid") ? command.get("uid").getAsString() : "";
    switch (command.get("action").getAsString()) {
      case "bind" -> {
        accepted = true;
        send("{\"action\":\"bound\",\"code\":\"fresh\",\"wall_ms\":5}");
        List.copyOf(notices.subList(command.get("pos").getAsInt(), notices.size()))
            .forEach(this::send);
      }
      case "spawn" -> {
        boolean hasEnded = answers.containsKey(id) || cancelled.contains(id);
        if (hasEnded && !paused.contains(id) && !running.contains(id)) {
          // the protocol requires that the pool starts nothing for a request that has ended
          sendNumbered(
              "\"finished\",\"uid\":\""
                  + id
                  + "\",\"code\":\"stale\",\"wall_ms\":0,\"content\":\"\"");
        } else if (!paused.contains(id) && running.add(id)) {
          runs.merge(id, 1, Integer::sum);
        }
      }
      case "suspend" -> {
        if (running.contains(id)) {
          endRun(id, "aborted");
          paused.add(id);
        }
      }
      case "proceed" -> {
        if (paused.remove(id)) {
          running.add(id);
        }
      }
      case "poll" ->
          send(
              "{\"action\":\"polled\",\"echo\":"
                  + command.get("echo")
                  + ",\"meters\":[1,2,0.1,3]}");
      default -> throw new AssertionError(command);
    }
  }

  private void send(String notice) {
    if (accepted && channel.isOpen()) {
      channel.writeInbound(Unpooled.copiedBuffer(notice + "\n", StandardCharsets.UTF_8));
    }
  }

  private void endRun(String id, String code) {
    if (running.remove(id)) {
      String content = Base64.getEncoder().encodeToString(BrokerFixture.result(id));
      sendNumbered(
          "\"finished\",\"uid\":\""
              + id
              + "\",\"code\":\""
              + code
              + "\",\"wall_ms\":7,\"content\":\""
              + content
              + "\"");
    }
  }

  private void sendNumbered(String fields) {
    notices.add("{\"pos\":" + (notices.size() + 1) + ",\"action\":" + fields + "}");
    send(notices.get(notices.size() - 1));
  }

  private Exchange submit(boolean order) {
    String id = BrokerFixture.id(++submitted);
    return fixture.ask(
        id,
        order ? BrokerFixture.ORDER : BrokerFixture.LOOK,
        new byte[3],
        new ResponseSink() {
          private void recordAnswer(String answer) {
            assertEquals(null, answers.put(id, answer), id + " is answered twice");
          }

          @Override
          public void sendResult(byte[] result) {
            assertArrayEquals(BrokerFixture.result(id), result);
            recordAnswer("result");
          }

          @Override
          public void sendRejection(boolean dontRetry, long retryAfterMillis) {
            assertFalse(order && runs.containsKey(id), id + " ran and is rejected");
            recordAnswer("rejected");
          }

          @Override
          public void sendFailure(String code) {
            recordAnswer(code);
          }
        });
  }

  @Property(seed = "1764576005")
  void answersEachRequestAndRunsItAtMostOnce(
      @ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
    processCommands();
    for (int step : steps) {
      switch (step % 10) {
        case 0, 1, 2 -> submit(step % 4 == 0);
        case 3, 4, 5 ->
            running.stream()
                .skip(running.isEmpty() ? 0 : step / 10 % running.size())
                .findFirst()
                .ifPresent(id -> endRun(id, step % 3 == 0 ? "crashed" : "done"));
        case 6 -> sendNumbered("\"chatter\",\"code\":\"all is well\"");
        case 7 -> {
          if (step % 20 == 7) {
            accepted = false; // loses the notices that answer the last commands
            processCommands();
          }
          channel.close(); // loses the unread commands on it
        }
        case 8 -> {
          if (step % 40 == 8) {
            changeAddress(step % 3);
          } else {
            send("no notice".repeat(step % 2));
          }
        }
        default -> fixture.pass(step * 3L);
      }
      fixture.pass(step % 9_000);
      if (step % 3 > 0) {
        processCommands(); // in the other cases the pool has not read yet
      }
    }
    for (int i = 0; i < 400; i++) {
      processCommands();
      fixture.pass(20_000);
    }
    assertEquals(submitted, answers.size(), "every request is answered");
    assertEquals(0, fixture.broker.pendingCount());
    assertEquals(0, fixture.counters.get("pool-notices-lost"));
    assertEquals(0, fixture.counters.get("overdue"));
    assertEquals(0, fixture.counters.get("lost-runs"));
    channels.stream()
        .filter(former -> former != channel)
        .forEach(former -> assertFalse(former.isOpen()));
    runs.forEach((id, times) -> assertEquals(1, times, id + " ran twice"));
  }

  /**
   * Guards against a start that is lost with its connection, so that the request waits in vain
   * until its deadline, and against a second run if only the pool's notices about the first were
   * lost.
   */
  @Property(seed = "1764576007", tries = 8)
  void runsRequestOnceAcrossBrokenConnection(
      @ForAll boolean wasRead, @ForAll boolean order, @ForAll boolean isCancelled) {
    processCommands();
    Exchange exchange = submit(order);
    fixture.pass(5_000);
    accepted = false;
    if (wasRead) {
      processCommands();
    }
    channel.close();
    if (isCancelled) {
      cancelled.add(BrokerFixture.id(1));
      fixture.broker.cancelled(exchange);
    }
    for (int i = 0; i < 10; i++) {
      fixture.pass(50_000);
      processCommands();
    }
    assertEquals(isCancelled ? Set.of() : Set.of(BrokerFixture.id(1)), running);
    assertEquals(isCancelled && !wasRead ? null : (Integer) 1, runs.get(BrokerFixture.id(1)));
    endRun(BrokerFixture.id(1), "done");
    assertEquals(isCancelled ? null : "result", answers.get(BrokerFixture.id(1)));
    fixture.pass(5_000);
    assertTrue(fixture.broker.counts().startsWith("open=0 "), "the request is no longer open");
  }

  /**
   * Guards against a connection to a former address of the pool that replaces the one to the new
   * address.
   */
  @Example
  void closesConnectionOfObsoleteAttempt() {
    processCommands();
    pool.changeAddress((connectionFactory, failed) -> obsoleteFactory = connectionFactory);
    changeAddress(0);
    processCommands();
    EmbeddedChannel current = channel;
    EmbeddedChannel obsolete = fixture.open(obsoleteFactory.get());
    assertFalse(obsolete.isOpen());
    assertFalse(channels.get(0).isOpen());
    assertTrue(current.isOpen() && pool.isReady());
    assertEquals(2, fixture.lines.stream().filter(line -> line.contains("reason=moved")).count());
  }

  /**
   * Guards against endless reconnects over a malformed line, which the pool replays on each new
   * connection.
   */
  @Example
  void losesOnlyMalformedNotices() {
    processCommands();
    submit(true);
    submit(false);
    fixture.pass(5_000);
    processCommands();
    notices.add("{\"pos\":1,\"action\":");
    send(notices.get(0));
    notices.add("x".repeat(WorkerPoolConnection.MAX_LINE_BYTES + 1));
    send(notices.get(1));
    sendNumbered(
        "\"finished\",\"uid\":\""
            + BrokerFixture.id(1)
            + "\",\"code\":\"done\",\"wall_ms\":7,\"content\":\"?\"");
    for (int i = 0; i < 50; i++) {
      fixture.pass(20_000);
      processCommands();
    }
    assertEquals(
        "crashed",
        answers.get(BrokerFixture.id(1)),
        "the run has ended, and its result cannot be decoded");
    endRun(BrokerFixture.id(2), "done");
    assertEquals("result", answers.get(BrokerFixture.id(2)));
    assertEquals(2, channels.size(), "the client reconnects once, for the missing notices");
    assertEquals(2, fixture.counters.get("pool-notices-lost"));
    assertTrue(pool.isReady());
    runs.values().forEach(times -> assertEquals(1, times));
  }

  /**
   * Guards against notices that count as lost though a reconnect would replay them, and against a
   * number out of range after which all further notices count as duplicates.
   */
  @Example
  void recoversMissingNoticeAndSkipsNumberOutOfRange() {
    processCommands();
    submit(true);
    fixture.pass(5_000);
    processCommands();
    send("{\"pos\":900000000000,\"action\":\"chatter\",\"code\":\"x\"}");
    running.remove(BrokerFixture.id(1));
    notices.add(
        "{\"pos\":1,\"action\":\"finished\",\"uid\":\""
            + BrokerFixture.id(1)
            + "\",\"code\":\"done\",\"wall_ms\":7,\"content\":\""
            + Base64.getEncoder().encodeToString(BrokerFixture.result(BrokerFixture.id(1)))
            + "\"}"); // this notice is lost
    sendNumbered("\"chatter\",\"code\":\"all is well\"");
    assertEquals(null, answers.get(BrokerFixture.id(1)));
    for (int i = 0; i < 5; i++) {
      fixture.pass(20_000);
      processCommands();
    }
    assertEquals("result", answers.get(BrokerFixture.id(1)));
    assertEquals(0, fixture.counters.get("pool-notices-lost"));
    assertEquals(1, fixture.counters.get("pool-notices-out-of-range"));
  }

  /**
   * Guards against a connection that stays in use though it is silent, and against one that is
   * closed though the pool is only slow.
   */
  @Example
  void replacesSilentConnectionWhenPoolHasAcceptedAnother() {
    processCommands();
    submit(true);
    fixture.pass(5_000);
    processCommands();
    EmbeddedChannel silent = channel;
    for (int i = 0; i < 19; i++) {
      fixture.pass(100_000); // the pool reads nothing
    }
    assertEquals(1, channels.size(), "the pool may be slow");
    for (int i = 0; i < 10; i++) {
      fixture.pass(100_000);
    }
    assertEquals(2, channels.size());
    assertTrue(silent.isOpen(), "it is read until the pool has accepted the other");
    for (int i = 0; i < 5; i++) {
      processCommands();
      fixture.pass(20_000);
    }
    assertFalse(silent.isOpen());
    endRun(BrokerFixture.id(1), "done");
    assertEquals("result", answers.get(BrokerFixture.id(1)));
    assertEquals(1, runs.get(BrokerFixture.id(1)));
  }

  /**
   * Guards against a pool that starts late and is taken for silent, against an endless wait on a
   * first connection that leads nowhere, and against an unbounded number of connections.
   */
  @Example
  void retriesPoolThatHasNotStartedWithGrowingIntervals() {
    fixture.pass(WorkerPoolClient.MAX_INITIAL_SILENCE_MICROS - 1_000_000);
    assertEquals(1, channels.size());
    fixture.pass(60_000_000);
    assertTrue(
        channels.size() >= 3 && channels.size() <= 6,
        "connections in a minute: " + channels.size());
    assertTrue(
        channels.stream().filter(EmbeddedChannel::isOpen).count() <= 2,
        "only the current and the former connection are open");
    processCommands();
    assertTrue(pool.isReady());
    fixture.pass(1_000_000);
    assertEquals(1, channels.stream().filter(EmbeddedChannel::isOpen).count());
  }

  @Example
  void closesConnectionOnUnterminatedLine() {
    processCommands();
    for (int i = 0;
        i < WorkerPoolConnection.MAX_SKIPPED_BYTES / WorkerPoolConnection.MAX_LINE_BYTES;
        i++) {
      assertTrue(channel.isOpen());
      channel.writeInbound(
          Unpooled.wrappedBuffer(new byte[WorkerPoolConnection.MAX_LINE_BYTES + 1]));
    }
    assertFalse(channel.isOpen());
    assertTrue(
        fixture.lines.stream()
            .anyMatch(line -> line.contains("side=pool") && line.contains("reason=oversized")));
  }

  /** Guards against reconnects without a delay when connections fail repeatedly. */
  @Example
  void delaysReconnectsWhenConnectionsFailRepeatedly() {
    processCommands();
    for (int i = 0; i < 300; i++) {
      fixture.pass(10_000);
      if (channel.isOpen()) {
        accepted = true;
        send("{\"action\":\"bound\",\"code\":\"seasoned\",\"wall_ms\":5}");
        for (int j = 0;
            j <= WorkerPoolConnection.MAX_SKIPPED_BYTES / WorkerPoolConnection.MAX_LINE_BYTES
                && channel.isOpen();
            j++) {
          channel.writeInbound(
              Unpooled.wrappedBuffer(new byte[WorkerPoolConnection.MAX_LINE_BYTES + 1]));
        }
      }
    }
    assertTrue(channels.size() < 15, "connections in 3 s: " + channels.size());
  }
}
