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
 * Tests calls against a model of the dependency, with connections that break, and answers that are
 * late and out of order.
 */
class DependencyConnectionManagerTest {
  private static final int RUNS = 6;

  private BrokerFixture fixture;
  private DependencyConnectionManager manager;
  private List<Peer> connections;
  private boolean refusing;

  /** The content of the call that each run awaits. */
  private Map<String, String> awaitedCalls;

  /** The number of ended calls of each run that were reported to the controller. */
  private Map<String, Integer> endedCalls;

  private int callsAwaited;

  /**
   * The dependency's side of one connection. It reads only when {@link #read} is called, and
   * answers the calls that it has read in any order.
   */
  private final class Peer {
    final EmbeddedChannel channel;
    final Map<String, String> unansweredCalls = new LinkedHashMap<>();
    String unread = "";

    Peer(Connection connection) {
      channel = fixture.open(connection);
    }

    void read() {
      channel.runPendingTasks();
      ByteBuf out;
      while ((out = channel.readOutbound()) != null) {
        unread += out.toString(StandardCharsets.ISO_8859_1);
        out.release();
      }
      int end;
      while ((end = unread.indexOf("\r\n")) >= 0) {
        String[] fields = unread.substring(0, end).split(" ");
        unread = unread.substring(end + 2);
        if (fields[0].equals("post")) {
          int length = Integer.parseInt(fields[3]);
          assertTrue(Long.parseLong(fields[2]) > 0, "the timeout is above 0");
          assertEquals(
              null,
              unansweredCalls.put(fields[1], unread.substring(0, length)),
              "a request has two unanswered calls on one connection");
          assertEquals("\r\n", unread.substring(length, length + 2));
          unread = unread.substring(length + 2);
        } else {
          assertEquals("abandon", fields[0]);
          unansweredCalls.remove(fields[1]);
        }
      }
    }

    void answer(int choice) {
      if (unansweredCalls.isEmpty() || !channel.isOpen()) {
        return;
      }
      String id = List.copyOf(unansweredCalls.keySet()).get(choice % unansweredCalls.size());
      String content = unansweredCalls.remove(id);
      String line =
          switch (choice % 7) {
            case 0 -> id + " queue_full\r\n";
            case 1 -> id + " error\r\n";
            case 2 -> id + " moot\r\n";
            default -> id + " posted " + (content.length() + 2) + "\r\na:" + content + "\r\n";
          };
      int cut = choice % line.length();
      for (String part : List.of(line.substring(0, cut), line.substring(cut))) {
        if (channel.isOpen()) {
          channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        }
      }
    }
  }

  @BeforeTry
  void setUp() {
    connections = new ArrayList<>();
    refusing = false;
    awaitedCalls = new LinkedHashMap<>();
    endedCalls = new LinkedHashMap<>();
    callsAwaited = 0;
    fixture = new BrokerFixture(new EndCounter());
    manager =
        new DependencyConnectionManager(
            this::connect, fixture, fixture.counters, fixture.lines::add);
    manager.attach(fixture.bound().broker);
  }

  private void connect(Supplier<? extends Connection> connectionFactory, Runnable failed) {
    fixture.schedule(
        fixture.now() + 300,
        refusing ? failed : () -> connections.add(new Peer(connectionFactory.get())));
  }

  /** A controller that counts the ends of calls and takes no decision. */
  private final class EndCounter extends NoDecisionController {
    @Override
    public void callEnded(long now, String id, RunOutcome outcome, long took) {
      endedCalls.merge(id, 1, Integer::sum);
    }
  }

  /** Ignores the answer to a request. */
  private static final class IgnoringSink implements ResponseSink {
    @Override
    public void sendResult(byte[] result) {}

    @Override
    public void sendRejection(boolean dontRetry, long retryAfterMillis) {}

    @Override
    public void sendFailure(String code) {}
  }

  private void startRun(String id) {
    fixture.ask(id, BrokerFixture.LOOK, new byte[3], new IgnoringSink());
    fixture.broker.startRun(id);
  }

  private void awaitCall(String id) {
    String content = "q" + ++callsAwaited;
    awaitedCalls.put(id, content);
    fixture.broker.runAwaitsCall(id, content.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Checks that a run that was resumed got the result of the call that it awaits. */
  private void assertResultOfAwaitedCall(String id, int suppliedBefore) {
    List<byte[]> results = fixture.supplied.getOrDefault(id, List.of());
    if (results.size() > suppliedBefore) {
      assertEquals(suppliedBefore + 1, results.size(), id + " is resumed once for each call");
      assertEquals(
          "a:" + awaitedCalls.remove(id),
          new String(results.get(suppliedBefore), StandardCharsets.ISO_8859_1));
    }
  }

  private int suppliedResults(String id) {
    return fixture.supplied.getOrDefault(id, List.of()).size();
  }

  /**
   * Guards against a run that is resumed with the answer to an earlier call of its own, and against
   * a call whose end is reported twice or never.
   */
  @Property(seed = "1764576021")
  void resumesRunsWithOwnResultsAndReportsEachEndOnce(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99_999) Integer> steps) {
    for (int i = 0; i < RUNS; i++) {
      startRun(BrokerFixture.id(i));
    }
    Map<String, Integer> callsStarted = new LinkedHashMap<>();
    for (int step : steps) {
      String id = BrokerFixture.id(step / 10 % RUNS);
      switch (step % 10) {
        case 0, 1 -> awaitCall(id); // also while a call of it is pending: the run was started again
        case 2, 3, 4 -> {
          long calls = fixture.counters.get("calls");
          fixture.broker.startCall(id, fixture.now() + 1_000L * (1 + step % 200));
          callsStarted.merge(id, (int) (fixture.counters.get("calls") - calls), Integer::sum);
        }
        case 5, 6, 7 ->
            connections.forEach(
                connection -> {
                  Map<String, Integer> suppliedBefore = new LinkedHashMap<>();
                  for (int i = 0; i < RUNS; i++) {
                    suppliedBefore.put(BrokerFixture.id(i), suppliedResults(BrokerFixture.id(i)));
                  }
                  connection.answer(step / 10);
                  suppliedBefore.forEach(this::assertResultOfAwaitedCall);
                });
        case 8 -> {
          if (step % 3 == 0 && !connections.isEmpty()) {
            connections.get(connections.size() - 1).channel.close();
          }
          refusing = step % 4 == 0;
        }
        default -> manager.changeAddress(this::connect);
      }
      fixture.pass(step % 3_000);
      if (step % 3 > 0) {
        connections.forEach(
            connection -> {
              if (connection.channel.isOpen()) {
                connection.read();
              }
            });
      }
    }
    refusing = false;
    fixture.pass(400_000);
    for (int i = 0; i < RUNS; i++) {
      String id = BrokerFixture.id(i);
      int ends = endedCalls.getOrDefault(id, 0);
      assertTrue(ends <= callsStarted.getOrDefault(id, 0), "no end is reported without a call");
    }
    assertEquals(
        fixture.counters.get("calls"),
        endedCalls.values().stream().mapToInt(Integer::intValue).sum()
            + fixture.counters.get("call-abandoned"),
        "each call has ended or was abandoned");
    assertEquals(0, fixture.counters.get("faults"));
  }

  /**
   * Guards against a late answer, sent before the dependency reads that its call is abandoned, that
   * is taken for the answer to the next call of the same request.
   */
  @Example
  void ignoresLateAnswerToAbandonedCallOfSameRequest() {
    String id = BrokerFixture.id(1);
    startRun(id);
    awaitCall(id);
    fixture.broker.startCall(id, fixture.now() + 50_000);
    fixture.pass(1_000);
    connections.get(0).read();
    awaitCall(id); // the run was started again
    fixture.broker.startCall(id, fixture.now() + 50_000);
    connections.get(0).answer(6); // before the dependency reads that the first call is abandoned
    fixture.pass(1_000);
    assertEquals(Map.of(), fixture.supplied);
    assertEquals(1, fixture.counters.get("dependency-answered-late") + connections.size() - 1);
    connections.get(1).read();
    connections.get(1).answer(6);
    assertResultOfAwaitedCall(id, 0);
    assertEquals(1, suppliedResults(id));
    assertFalse(
        connections.get(0).channel.isOpen(),
        "the retired connection is closed, as no call is pending on it");
  }

  /** Guards against a call that is never answered and blocks all later calls on its connection. */
  @Example
  void replacesConnectionThatIsSilentWithUnansweredCall() {
    for (int i = 0; i < 4; i++) {
      startRun(BrokerFixture.id(i));
      awaitCall(BrokerFixture.id(i));
    }
    fixture.broker.startCall(BrokerFixture.id(0), fixture.now() + 3_000_000);
    fixture.pass(1_000);
    connections.get(0).read(); // and does not answer
    fixture.broker.startCall(BrokerFixture.id(1), fixture.now() + 3_000_000);
    fixture.pass(600_000);
    assertEquals(1, connections.size());
    fixture.broker.startCall(BrokerFixture.id(2), fixture.now() + 3_000_000);
    fixture.pass(1_000);
    assertEquals(2, connections.size());
    connections.get(1).read();
    connections.get(1).answer(6);
    assertEquals(1, suppliedResults(BrokerFixture.id(2)));
    fixture.broker.startCall(BrokerFixture.id(3), fixture.now() + 3_000_000);
    fixture.pass(1_000);
    assertEquals(2, connections.size(), "the new connection is not silent");
    assertTrue(connections.get(0).channel.isOpen(), "two calls are pending on the old connection");
    fixture.pass(3_000_000);
    assertFalse(connections.get(0).channel.isOpen());
  }

  /**
   * Guards against a run that waits until its deadline for a dependency that does not answer or is
   * not configured.
   */
  @Example
  void endsUnansweredCallAtItsTimeout() {
    startRun(BrokerFixture.id(1));
    awaitCall(BrokerFixture.id(1));
    fixture.broker.startCall(BrokerFixture.id(1), fixture.now() + 50_000);
    fixture.pass(60_000);
    assertEquals(Map.of(), endedCalls);
    fixture.pass(60_000);
    assertEquals(Map.of(BrokerFixture.id(1), 1), endedCalls);
    assertEquals(1, fixture.counters.get("call-timed_out"));
    fixture.broker.setDependencyClient(DependencyClient.UNAVAILABLE);
    fixture.broker.startCall(BrokerFixture.id(1), fixture.now() + 50_000);
    fixture.pass(5_000);
    assertEquals(1, fixture.counters.get("call-unreachable"));
  }

  /**
   * Guards against a result that is sent to the pool twice or never when the pool's connection
   * breaks.
   */
  @Example
  void sendsResultToPoolOnceAcrossBrokenConnection() {
    for (int i : List.of(1, 2)) {
      startRun(BrokerFixture.id(i));
      awaitCall(BrokerFixture.id(i));
      fixture.broker.startCall(BrokerFixture.id(i), fixture.now() + 500_000);
    }
    fixture.pass(1_000);
    connections.get(0).read();
    connections.get(0).answer(4); // its result is written to a pool connection that breaks
    fixture.linked = false;
    fixture.broker.poolDisconnected();
    connections.get(0).answer(4); // while the pool is disconnected
    assertEquals(1, fixture.supplied.size());
    fixture.linked = true;
    fixture.broker.resynchronized();
    fixture.broker.resynchronized();
    assertEquals(2, fixture.supplied.size());
    fixture.supplied.values().forEach(results -> assertEquals(1, results.size()));
    assertEquals(2, fixture.broker.pendingCount());
  }

  @Example
  void closesConnectionOnMalformedAnswerAndFailsItsCalls() {
    startRun(BrokerFixture.id(1));
    for (String malformed :
        List.of(
            "x\r\n",
            "0000000000000001 posted\r\n",
            "0000000000000001 posted 99999999\r\n",
            "0000000000000001 posted 2\r\nabcd",
            "0000000000000001 well\r\n",
            "y".repeat(DependencyProtocol.MAX_LINE_BYTES + 1))) {
      awaitCall(BrokerFixture.id(1));
      fixture.broker.startCall(BrokerFixture.id(1), fixture.now() + 500_000);
      fixture.pass(1_000);
      Peer last = connections.get(connections.size() - 1);
      last.channel.writeInbound(Unpooled.copiedBuffer(malformed, StandardCharsets.ISO_8859_1));
      last.channel.runPendingTasks();
      assertFalse(last.channel.isOpen(), malformed);
    }
    assertEquals(6, fixture.counters.get("call-connection_lost"));
    assertEquals(Map.of(), fixture.supplied);
  }
}
