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

/** Links that break at any moment, with what was on them, against a model of the pool. */
class WorkerPoolClientTest {
  private BrokerFixture stand;
  private WorkerPoolClient pool;
  private EmbeddedChannel channel;
  private List<EmbeddedChannel> channels;
  private int refusing;
  private Supplier<? extends Connection> late;
  private List<String> notices;
  private Set<String> running;
  private Set<String> paused;
  private Map<String, Integer> runs;
  private Map<String, String> answers;
  private Set<String> left; // requests whose callers have left
  private int made;
  private boolean taken; // whether the pool has read the link's bind

  @BeforeTry
  void anew() {
    notices = new ArrayList<>();
    running = new LinkedHashSet<>();
    paused = new LinkedHashSet<>();
    runs = new HashMap<>();
    answers = new HashMap<>();
    left = new LinkedHashSet<>();
    made = 0;
    channels = new ArrayList<>();
    refusing = 0;
    late = null;
    stand =
        new BrokerFixture(
            of -> {
              pool = new WorkerPoolClient(this::dial, of, of.counters, of.lines::add);
              return pool;
            });
    pool.attach(stand.broker);
  }

  @AfterTry
  void away() {
    List.copyOf(channels).forEach(EmbeddedChannel::finishAndReleaseAll);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    if (refusing > 0) {
      refusing--;
      failed.run();
      return;
    }
    Connection link = maker.get();
    taken = false;
    channel = stand.open(link);
    channels.add(channel);
  }

  /** The pool moves: its new address refuses the first so many dials. */
  private void move(int refuses) {
    refusing = refuses;
    pool.changeAddress(this::dial);
  }

  /** The pool reads all commands on the link, and answers them. */
  private void turn() {
    channel.runPendingTasks();
    ByteBuf out;
    while (channel.isOpen() && (out = channel.readOutbound()) != null) {
      String text = out.toString(StandardCharsets.UTF_8);
      out.release();
      text.lines().forEach(line -> command(JsonParser.parseString(line).getAsJsonObject()));
    }
  }

  private void command(JsonObject command) {
    String id = command.has("uid") ? command.get("uid").getAsString() : "";
    switch (command.get("action").getAsString()) {
      case "bind" -> {
        taken = true;
        say("{\"action\":\"bound\",\"code\":\"fresh\",\"wall_ms\":5}");
        List.copyOf(notices.subList(command.get("pos").getAsInt(), notices.size()))
            .forEach(this::say);
      }
      case "spawn" -> {
        boolean over = answers.containsKey(id) || left.contains(id);
        if (over
            && !paused.contains(id)
            && !running.contains(id)) { // as the protocol has it: nothing is started
          notice(
              "\"finished\",\"uid\":\""
                  + id
                  + "\",\"code\":\"stale\",\"wall_ms\":0,\"content\":\"\"");
        } else if (!paused.contains(id) && running.add(id)) {
          runs.merge(id, 1, Integer::sum);
        }
      }
      case "suspend" -> {
        if (running.contains(id)) {
          end(id, "aborted");
          paused.add(id);
        }
      }
      case "proceed" -> {
        if (paused.remove(id)) {
          running.add(id);
        }
      }
      case "poll" ->
          say(
              "{\"action\":\"polled\",\"echo\":"
                  + command.get("echo")
                  + ",\"meters\":[1,2,0.1,3]}");
      default -> throw new AssertionError(command);
    }
  }

  private void say(String notice) {
    if (taken && channel.isOpen()) {
      channel.writeInbound(Unpooled.copiedBuffer(notice + "\n", StandardCharsets.UTF_8));
    }
  }

  private void end(String id, String code) {
    if (running.remove(id)) {
      String content = Base64.getEncoder().encodeToString(BrokerFixture.result(id));
      notice(
          "\"finished\",\"uid\":\""
              + id
              + "\",\"code\":\""
              + code
              + "\",\"wall_ms\":7,\"content\":\""
              + content
              + "\"");
    }
  }

  private void notice(String rest) {
    notices.add("{\"pos\":" + (notices.size() + 1) + ",\"action\":" + rest + "}");
    say(notices.get(notices.size() - 1));
  }

  private Exchange ask(boolean order) {
    String id = BrokerFixture.id(++made);
    return stand.ask(
        id,
        order ? BrokerFixture.ORDER : BrokerFixture.LOOK,
        new byte[3],
        new ResponseSink() {
          private void once(String answer) {
            assertEquals(null, answers.put(id, answer), id + " is answered twice");
          }

          @Override
          public void sendResult(byte[] result) {
            assertArrayEquals(BrokerFixture.result(id), result);
            once("served");
          }

          @Override
          public void sendRejection(boolean last, long holdOffMs) {
            assertFalse(order && runs.containsKey(id), id + " ran and is refused");
            once("refused");
          }

          @Override
          public void sendFailure(String code) {
            once(code);
          }
        });
  }

  @Property(seed = "1764576005")
  void keepsToTheModel(
      @ForAll @Size(min = 20, max = 150) List<@IntRange(max = 99_999) Integer> steps) {
    turn();
    for (int step : steps) {
      switch (step % 10) {
        case 0, 1, 2 -> ask(step % 4 == 0);
        case 3, 4, 5 ->
            running.stream()
                .skip(running.isEmpty() ? 0 : step / 10 % running.size())
                .findFirst()
                .ifPresent(id -> end(id, step % 3 == 0 ? "crashed" : "done"));
        case 6 -> notice("\"chatter\",\"code\":\"all is well\"");
        case 7 -> {
          if (step % 20 == 7) {
            taken = false; // what the pool says to the last commands is lost
            turn();
          }
          channel.close(); // what is on it and unread is lost
        }
        case 8 -> {
          if (step % 40 == 8) {
            move(step % 3);
          } else {
            say("no notice".repeat(step % 2));
          }
        }
        default -> stand.pass(step * 3L);
      }
      stand.pass(step % 9_000);
      if (step % 3 > 0) {
        turn(); // else the pool is slow to read
      }
    }
    for (int i = 0; i < 400; i++) {
      turn();
      stand.pass(20_000);
    }
    assertEquals(made, answers.size(), "all is answered");
    assertEquals(0, stand.broker.pendingCount());
    assertEquals(0, stand.counters.get("pool-notices-lost"));
    assertEquals(0, stand.counters.get("overdue"));
    assertEquals(0, stand.counters.get("lost-runs"));
    channels.stream().filter(one -> one != channel).forEach(one -> assertFalse(one.isOpen()));
    runs.forEach((id, times) -> assertEquals(1, times, id + " ran twice"));
  }

  /**
   * Guards against a start that is lost with its link, which the run would be waited for in vain
   * until its due time, and against a second start where only the pool's word of the first was
   * lost.
   */
  @Property(seed = "1764576007", tries = 8)
  void startsOnceWhatWasOnALinkThatBroke(
      @ForAll boolean wasRead, @ForAll boolean order, @ForAll boolean leaves) {
    turn();
    Exchange asked = ask(order);
    stand.pass(5_000);
    taken = false;
    if (wasRead) {
      turn();
    }
    channel.close();
    if (leaves) {
      left.add(BrokerFixture.id(1));
      stand.broker.cancelled(asked);
    }
    for (int i = 0; i < 10; i++) {
      stand.pass(50_000);
      turn();
    }
    assertEquals(leaves ? Set.of() : Set.of(BrokerFixture.id(1)), running);
    assertEquals(leaves && !wasRead ? null : (Integer) 1, runs.get(BrokerFixture.id(1)));
    end(BrokerFixture.id(1), "done");
    assertEquals(leaves ? null : "served", answers.get(BrokerFixture.id(1)));
    stand.pass(5_000);
    assertTrue(stand.broker.counts().startsWith("open=0 "), "its place is free");
  }

  /**
   * Guards against a link to an address that the pool has left taking the place of the right one.
   */
  @Example
  void aDialThatANewAddressOvertakesComesToNothing() {
    turn();
    pool.changeAddress((maker, failed) -> late = maker);
    move(0);
    turn();
    EmbeddedChannel right = channel;
    EmbeddedChannel overtaken = stand.open(late.get());
    assertFalse(overtaken.isOpen());
    assertFalse(channels.get(0).isOpen());
    assertTrue(right.isOpen() && pool.isReady());
    assertEquals(2, stand.lines.stream().filter(line -> line.contains("reason=moved")).count());
  }

  /**
   * Guards against one line that cannot be read and is said again on each new link: the server
   * would do nothing else.
   */
  @Example
  void aNoticeThatCannotBeReadCostsItselfAlone() {
    turn();
    ask(true);
    ask(false);
    stand.pass(5_000);
    turn();
    notices.add("{\"pos\":1,\"action\":");
    say(notices.get(0));
    notices.add("x".repeat(WorkerPoolConnection.MAX_LINE_BYTES + 1));
    say(notices.get(1));
    notice(
        "\"finished\",\"uid\":\""
            + BrokerFixture.id(1)
            + "\",\"code\":\"done\",\"wall_ms\":7,\"content\":\"?\"");
    for (int i = 0; i < 50; i++) {
      stand.pass(20_000);
      turn();
    }
    assertEquals(
        "crashed",
        answers.get(BrokerFixture.id(1)),
        "it is over, and what came of it cannot be read");
    end(BrokerFixture.id(2), "done");
    assertEquals("served", answers.get(BrokerFixture.id(2)));
    assertEquals(2, channels.size(), "the link is opened again once, for what was missing");
    assertEquals(2, stand.counters.get("pool-notices-lost"));
    assertTrue(pool.isReady());
    runs.values().forEach(times -> assertEquals(1, times));
  }

  /**
   * Guards against a gap that another link would have filled, and against a number that silences
   * all that follow.
   */
  @Example
  void whatIsMissingIsAskedForAgainAndASenselessNumberIsPassedOver() {
    turn();
    ask(true);
    stand.pass(5_000);
    turn();
    say("{\"pos\":900000000000,\"action\":\"chatter\",\"code\":\"x\"}");
    running.remove(BrokerFixture.id(1));
    notices.add(
        "{\"pos\":1,\"action\":\"finished\",\"uid\":\""
            + BrokerFixture.id(1)
            + "\",\"code\":\"done\",\"wall_ms\":7,\"content\":\""
            + Base64.getEncoder().encodeToString(BrokerFixture.result(BrokerFixture.id(1)))
            + "\"}"); // never arrives
    notice("\"chatter\",\"code\":\"all is well\"");
    assertEquals(null, answers.get(BrokerFixture.id(1)));
    for (int i = 0; i < 5; i++) {
      stand.pass(20_000);
      turn();
    }
    assertEquals("served", answers.get(BrokerFixture.id(1)));
    assertEquals(0, stand.counters.get("pool-notices-lost"));
    assertEquals(1, stand.counters.get("pool-notices-out-of-range"));
  }

  /**
   * Guards against a link that is silent without being closed, and against one that is slow and is
   * left for it.
   */
  @Example
  void aSilentLinkIsLeftOnceThePoolHasTakenAnother() {
    turn();
    ask(true);
    stand.pass(5_000);
    turn();
    EmbeddedChannel silent = channel;
    for (int i = 0; i < 19; i++) {
      stand.pass(100_000); // the pool reads nothing
    }
    assertEquals(1, channels.size(), "it may be slow");
    for (int i = 0; i < 10; i++) {
      stand.pass(100_000);
    }
    assertEquals(2, channels.size());
    assertTrue(silent.isOpen(), "it is heard until the pool has taken the other");
    for (int i = 0; i < 5; i++) {
      turn();
      stand.pass(20_000);
    }
    assertFalse(silent.isOpen());
    end(BrokerFixture.id(1), "done");
    assertEquals("served", answers.get(BrokerFixture.id(1)));
    assertEquals(1, runs.get(BrokerFixture.id(1)));
  }

  /** Guards against a pool that comes up late and is taken for silent. */
  /**
   * Guards against a first link that leads nowhere, which would be waited on for ever, and against
   * links without number.
   */
  @Example
  void aPoolThatHasNotComeUpIsAskedAgainEverMoreSeldom() {
    stand.pass(WorkerPoolClient.MAX_INITIAL_SILENCE_MICROS - 1_000_000);
    assertEquals(1, channels.size());
    stand.pass(60_000_000);
    assertTrue(
        channels.size() >= 3 && channels.size() <= 6, "links in a minute: " + channels.size());
    assertTrue(
        channels.stream().filter(EmbeddedChannel::isOpen).count() <= 2,
        "one is left as another is open");
    turn();
    assertTrue(pool.isReady());
    stand.pass(1_000_000);
    assertEquals(1, channels.stream().filter(EmbeddedChannel::isOpen).count());
  }

  @Example
  void aLineWithoutAnEndClosesTheLink() {
    turn();
    for (int i = 0;
        i < WorkerPoolConnection.MAX_SKIPPED_BYTES / WorkerPoolConnection.MAX_LINE_BYTES;
        i++) {
      assertTrue(channel.isOpen());
      channel.writeInbound(
          Unpooled.wrappedBuffer(new byte[WorkerPoolConnection.MAX_LINE_BYTES + 1]));
    }
    assertFalse(channel.isOpen());
    assertTrue(
        stand.lines.stream()
            .anyMatch(line -> line.contains("side=pool") && line.contains("reason=oversized")));
  }

  /** Guards against a link that fails over and over and is opened again without a pause. */
  @Example
  void linksThatFailOneAfterTheOtherAreOpenedEverMoreSeldom() {
    turn();
    for (int i = 0; i < 300; i++) {
      stand.pass(10_000);
      if (channel.isOpen()) {
        taken = true;
        say("{\"action\":\"bound\",\"code\":\"seasoned\",\"wall_ms\":5}");
        for (int j = 0;
            j <= WorkerPoolConnection.MAX_SKIPPED_BYTES / WorkerPoolConnection.MAX_LINE_BYTES
                && channel.isOpen();
            j++) {
          channel.writeInbound(
              Unpooled.wrappedBuffer(new byte[WorkerPoolConnection.MAX_LINE_BYTES + 1]));
        }
      }
    }
    assertTrue(channels.size() < 15, "links in 3 s: " + channels.size());
  }
}
