package mothwing.dependency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mothwing.broker.DependencyClient;
import mothwing.broker.ResponseSink;
import mothwing.control.RunOutcome;
import mothwing.net.Connection;
import mothwing.testing.NoDecisionController;
import mothwing.trial.BrokerFixture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Calls over links that break, with answers late and out of order, against a model of the ledger.
 */
class DependencyConnectionManagerTest {
  private static final int RUNS = 6;

  private BrokerFixture stand;
  private DependencyConnectionManager ledger;
  private List<Tier> links;
  private boolean refusing;
  private Map<String, String> asked; // what each run stands at a call for
  private Map<String, Integer> ended; // how the calls of each were told to be over
  private int nonces;

  /**
   * The far side of one link: it reads when it is told to, and answers what it has read, in any
   * order.
   */
  private final class Tier {
    final EmbeddedChannel channel;
    final Map<String, String> posted = new LinkedHashMap<>();
    String rest = "";

    Tier(Connection connection) {
      channel = stand.open(connection);
    }

    void read() {
      channel.runPendingTasks();
      ByteBuf out;
      while ((out = channel.readOutbound()) != null) {
        rest += out.toString(StandardCharsets.ISO_8859_1);
        out.release();
      }
      int end;
      while ((end = rest.indexOf("\r\n")) >= 0) {
        String[] words = rest.substring(0, end).split(" ");
        rest = rest.substring(end + 2);
        if (words[0].equals("post")) {
          int length = Integer.parseInt(words[3]);
          assertTrue(Long.parseLong(words[2]) > 0, "a limit above 0");
          assertEquals(
              null,
              posted.put(words[1], rest.substring(0, length)),
              "a call over the link whose answers go by the name of another");
          assertEquals("\r\n", rest.substring(length, length + 2));
          rest = rest.substring(length + 2);
        } else {
          assertEquals("abandon", words[0]);
          posted.remove(words[1]);
        }
      }
    }

    void answer(int draw) {
      if (posted.isEmpty() || !channel.isOpen()) {
        return;
      }
      String id = List.copyOf(posted.keySet()).get(draw % posted.size());
      String content = posted.remove(id);
      String line =
          switch (draw % 7) {
            case 0 -> id + " queue_full\r\n";
            case 1 -> id + " error\r\n";
            case 2 -> id + " moot\r\n";
            default -> id + " posted " + (content.length() + 2) + "\r\na:" + content + "\r\n";
          };
      int cut = draw % line.length();
      for (String part : List.of(line.substring(0, cut), line.substring(cut))) {
        if (channel.isOpen()) {
          channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        }
      }
    }
  }

  @BeforeTry
  void anew() {
    links = new ArrayList<>();
    refusing = false;
    asked = new LinkedHashMap<>();
    ended = new LinkedHashMap<>();
    nonces = 0;
    stand = new BrokerFixture(new Noted());
    ledger = new DependencyConnectionManager(this::dial, stand, stand.counters, stand.lines::add);
    ledger.attach(stand.bound().broker);
  }

  private void dial(Supplier<? extends Connection> maker, Runnable failed) {
    stand.schedule(stand.now() + 300, refusing ? failed : () -> links.add(new Tier(maker.get())));
  }

  /** Decisions by hand: it counts the ends of calls. */
  private final class Noted extends NoDecisionController {
    @Override
    public void callEnded(long now, String id, RunOutcome outcome, long took) {
      ended.merge(id, 1, Integer::sum);
    }
  }

  /** A caller whose answer is of no matter here. */
  private static final class Unread implements ResponseSink {
    @Override
    public void sendResult(byte[] result) {
      // not looked at
    }

    @Override
    public void sendRejection(boolean last, long holdOffMs) {
      // not looked at
    }

    @Override
    public void sendFailure(String code) {
      // not looked at
    }
  }

  private void begin(String id) {
    stand.ask(id, BrokerFixture.LOOK, new byte[3], new Unread());
    stand.broker.startRun(id);
  }

  private void blocked(String id) {
    String content = "q" + ++nonces;
    asked.put(id, content);
    stand.broker.runAwaitsCall(id, content.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** What was supplied last is the answer to what is asked now. */
  private void supplied(String id, int before) {
    List<byte[]> all = stand.supplied.getOrDefault(id, List.of());
    if (all.size() > before) {
      assertEquals(before + 1, all.size(), id + " goes on once for each call");
      assertEquals(
          "a:" + asked.remove(id), new String(all.get(before), StandardCharsets.ISO_8859_1));
    }
  }

  private int supplies(String id) {
    return stand.supplied.getOrDefault(id, List.of()).size();
  }

  /**
   * Guards against a run that goes on with the answer to an earlier call of its own, and against a
   * call whose end is told twice or never.
   */
  @Property(seed = "1764576021")
  void keepsToTheModel(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99_999) Integer> steps) {
    for (int i = 0; i < RUNS; i++) {
      begin(BrokerFixture.id(i));
    }
    Map<String, Integer> made = new LinkedHashMap<>();
    for (int step : steps) {
      String id = BrokerFixture.id(step / 10 % RUNS);
      int before = supplies(id);
      switch (step % 10) {
        case 0, 1 -> blocked(id); // also where a call of it is out: the run was begun again
        case 2, 3, 4 -> {
          long calls = stand.counters.get("calls");
          stand.broker.startCall(id, stand.now() + 1_000 * (1 + step % 200));
          made.merge(id, (int) (stand.counters.get("calls") - calls), Integer::sum);
        }
        case 5, 6, 7 ->
            links.forEach(
                one -> {
                  Map<String, Integer> told = new LinkedHashMap<>();
                  for (int i = 0; i < RUNS; i++) {
                    told.put(BrokerFixture.id(i), supplies(BrokerFixture.id(i)));
                  }
                  one.answer(step / 10);
                  told.forEach(this::supplied);
                });
        case 8 -> {
          if (step % 3 == 0 && !links.isEmpty()) {
            links.get(links.size() - 1).channel.close();
          }
          refusing = step % 4 == 0;
        }
        default -> ledger.changeAddress(this::dial);
      }
      stand.pass(step % 3_000);
      if (step % 3 > 0) {
        links.forEach(
            one -> {
              if (one.channel.isOpen()) {
                one.read();
              }
            });
      }
    }
    refusing = false;
    stand.pass(400_000);
    for (int i = 0; i < RUNS; i++) {
      String id = BrokerFixture.id(i);
      int over = ended.getOrDefault(id, 0);
      assertTrue(over <= made.getOrDefault(id, 0), "no end without a call");
    }
    assertEquals(
        stand.counters.get("calls"),
        ended.values().stream().mapToInt(Integer::intValue).sum()
            + stand.counters.get("call-abandoned"),
        "each call is over, or was abandoned");
    assertEquals(0, stand.counters.get("faults"));
  }

  /**
   * Guards against a late answer, on its way as its call was given up, that is taken for the answer
   * to the next call.
   */
  @Example
  void aRequestThatCallsAgainIsNotGivenTheLateAnswerToItsFormerCall() {
    String id = BrokerFixture.id(1);
    begin(id);
    blocked(id);
    stand.broker.startCall(id, stand.now() + 50_000);
    stand.pass(1_000);
    links.get(0).read();
    blocked(id); // begun again
    stand.broker.startCall(id, stand.now() + 50_000);
    links.get(0).answer(6); // before it reads that the first is abandoned
    stand.pass(1_000);
    assertEquals(Map.of(), stand.supplied);
    assertEquals(1, stand.counters.get("ledger-answered-late") + links.size() - 1);
    links.get(1).read();
    links.get(1).answer(6);
    supplied(id, 0);
    assertEquals(1, supplies(id));
    assertFalse(links.get(0).channel.isOpen(), "the old link is closed as nothing is out on it");
  }

  /**
   * Guards against a call that is never answered, and that holds up all that are asked behind it
   * for good.
   */
  @Example
  void aLinkThatIsSilentBehindACallIsLeft() {
    for (int i = 0; i < 4; i++) {
      begin(BrokerFixture.id(i));
      blocked(BrokerFixture.id(i));
    }
    stand.broker.startCall(BrokerFixture.id(0), stand.now() + 3_000_000);
    stand.pass(1_000);
    links.get(0).read(); // and never answers
    stand.broker.startCall(BrokerFixture.id(1), stand.now() + 3_000_000);
    stand.pass(600_000);
    assertEquals(1, links.size());
    stand.broker.startCall(BrokerFixture.id(2), stand.now() + 3_000_000);
    stand.pass(1_000);
    assertEquals(2, links.size());
    links.get(1).read();
    links.get(1).answer(6);
    assertEquals(1, supplies(BrokerFixture.id(2)));
    stand.broker.startCall(BrokerFixture.id(3), stand.now() + 3_000_000);
    stand.pass(1_000);
    assertEquals(2, links.size(), "the new one answers");
    assertTrue(links.get(0).channel.isOpen(), "two calls are out on the old one");
    stand.pass(3_000_000);
    assertFalse(links.get(0).channel.isOpen());
  }

  /**
   * Guards against a run that waits for its due time for a tier that says nothing, or that is
   * nowhere.
   */
  @Example
  void aCallThatNobodyAnswersIsOverByItsLimit() {
    begin(BrokerFixture.id(1));
    blocked(BrokerFixture.id(1));
    stand.broker.startCall(BrokerFixture.id(1), stand.now() + 50_000);
    stand.pass(60_000);
    assertEquals(Map.of(), ended);
    stand.pass(60_000);
    assertEquals(Map.of(BrokerFixture.id(1), 1), ended);
    assertEquals(1, stand.counters.get("call-timed_out"));
    stand.broker.setDependencyClient(DependencyClient.UNAVAILABLE);
    stand.broker.startCall(BrokerFixture.id(1), stand.now() + 50_000);
    stand.pass(5_000);
    assertEquals(1, stand.counters.get("call-unreachable"));
  }

  /**
   * Guards against a result sent twice over a pool link that broke, and against one that was never
   * sent.
   */
  @Example
  void aResultGoesToThePoolOnceAcrossABrokenLink() {
    for (int i : List.of(1, 2)) {
      begin(BrokerFixture.id(i));
      blocked(BrokerFixture.id(i));
      stand.broker.startCall(BrokerFixture.id(i), stand.now() + 500_000);
    }
    stand.pass(1_000);
    links.get(0).read();
    links.get(0).answer(4); // on a link that breaks with it
    stand.linked = false;
    stand.broker.poolDisconnected();
    links.get(0).answer(4); // on none
    assertEquals(1, stand.supplied.size());
    stand.linked = true;
    stand.broker.resynchronized();
    stand.broker.resynchronized();
    assertEquals(2, stand.supplied.size());
    stand.supplied.values().forEach(all -> assertEquals(1, all.size()));
    assertEquals(2, stand.broker.pendingCount());
  }

  @Example
  void whatIsNoAnswerClosesTheLinkAndCutsItsCalls() {
    begin(BrokerFixture.id(1));
    for (String bad :
        List.of(
            "x\r\n",
            "0000000000000001 posted\r\n",
            "0000000000000001 posted 99999999\r\n",
            "0000000000000001 posted 2\r\nabcd",
            "0000000000000001 well\r\n",
            "y".repeat(DependencyConnection.MOST_LINE + 1))) {
      blocked(BrokerFixture.id(1));
      stand.broker.startCall(BrokerFixture.id(1), stand.now() + 500_000);
      stand.pass(1_000);
      Tier last = links.get(links.size() - 1);
      last.channel.writeInbound(Unpooled.copiedBuffer(bad, StandardCharsets.ISO_8859_1));
      last.channel.runPendingTasks();
      assertFalse(last.channel.isOpen(), bad);
    }
    assertEquals(6, stand.counters.get("call-connection_lost"));
    assertEquals(Map.of(), stand.supplied);
  }
}
