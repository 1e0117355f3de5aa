package mothwing.testing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import mothwing.control.RunOutcome;
import mothwing.net.Connection;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;

/**
 * Model that both fronts are checked against. Each request that was read gets one answer by its
 * deadline unless its caller abandons it. A request that must run once runs once and is not
 * rejected after it ran. Each served result is that of the request itself.
 */
public final class FrontModel {
  private static final List<String> OUTCOMES = List.of("completed", "rejected", "failed");
  private static final int ABANDONED = 3;

  /** The deadline of 4.5 s plus a slack of 150 ms. */
  private static final long MAX_ANSWER_MICROS = 4_500_000 + 150_000;

  /** A request as its gateway sees it. */
  private static final class SentRequest {
    final String id;
    final boolean runsOnce;
    final long dueAtMicros;

    SentRequest(String id, boolean runsOnce, long dueAtMicros) {
      this.id = id;
      this.runsOnce = runsOnce;
      this.dueAtMicros = dueAtMicros;
    }
  }

  /** The broker under test, with a manual clock and a manual pool. */
  public final BrokerFixture fixture = new BrokerFixture().bound();

  /** The gateway on the connection under test. */
  public Gateway gateway;

  /** The connection under test. */
  public EmbeddedChannel channel;

  /** Counts the bytes of all buffers that the connections under test hold. */
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);

  private final Function<BrokerFixture, Connection> connectionFactory;
  private final Supplier<Gateway> gatewayFactory;

  private final Map<Integer, SentRequest> pending = new HashMap<>();
  private final Map<String, long[]> outcomeCounts =
      Map.of(BrokerFixture.LOOK, new long[4], BrokerFixture.ORDER, new long[4]);
  private final Map<String, String> requestClasses = new HashMap<>();
  private int createdRequests;

  /** Creates a model with one open connection of a front. */
  public FrontModel(
      Function<BrokerFixture, Connection> connectionFactory, Supplier<Gateway> gatewayFactory) {
    this.connectionFactory = connectionFactory;
    this.gatewayFactory = gatewayFactory;
    open();
  }

  private void open() {
    gateway = gatewayFactory.get();
    channel = fixture.open(connectionFactory.apply(fixture));
    channel.config().setAllocator(allocator);
  }

  /** Returns the bytes of the buffers that the connections have allocated and not released. */
  public long bufferedBytes() {
    return allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
  }

  /** Sends bytes of the gateway and reads what the front writes at once. */
  public void send(byte[] bytes) {
    fixture.send(channel, gateway, bytes);
  }

  /**
   * Sends a request under an id of the connection, unless one with that id is pending. The request
   * is sent in two parts, split at any byte.
   */
  public void sendRequest(int requestId, int step) {
    if (pending.containsKey(requestId)) {
      return;
    }
    boolean runsOnce = step % 3 == 0;
    int lateMs = step % 400;
    String id = BrokerFixture.id(++createdRequests);
    pending.put(
        requestId,
        new SentRequest(id, runsOnce, fixture.now() - lateMs * 1000L + MAX_ANSWER_MICROS));
    requestClasses.put(id, runsOnce ? BrokerFixture.ORDER : BrokerFixture.LOOK);
    byte[] bytes =
        gateway.request(
            requestId,
            runsOnce ? "/call/" + BrokerFixture.ORDER : "/call/" + BrokerFixture.LOOK,
            "",
            Gateway.fields(id, fixture.wallClockMillis() - lateMs),
            new byte[step % 2049]);
    int split = step % bytes.length;
    send(Arrays.copyOf(bytes, split));
    send(Arrays.copyOfRange(bytes, split, bytes.length));
  }

  /** Returns whether a request with this id is pending on the connection. */
  public boolean isPending(int requestId) {
    return pending.containsKey(requestId);
  }

  /** Records that the gateway no longer waits for a request. */
  public void abandon(int requestId) {
    SentRequest request = pending.remove(requestId);
    if (request != null) {
      outcomeCounts.get(requestClasses.get(request.id))[ABANDONED]++;
    }
  }

  /** Closes the connection, which abandons all its requests, and opens another. */
  public void reopen() {
    List.copyOf(pending.keySet()).forEach(this::abandon);
    channel.close();
    open();
  }

  /** Ends one of the runs: every fifth number fails it, all others let it succeed. */
  public void endRun(int number) {
    String id = fixture.someRun(number);
    if (id != null) {
      fixture.finish(id, number % 5 == 0 ? RunOutcome.FAILED : RunOutcome.SUCCEEDED);
    }
  }

  /**
   * Advances the clock by a span in microseconds, and checks every answer that the gateway has read
   * by then, and that no request is overdue.
   */
  public void advanceAndCheck(long spanMicros) {
    fixture.pass(spanMicros);
    fixture.read(channel, gateway);
    Answer answer;
    while ((answer = gateway.answers.poll()) != null) {
      SentRequest request = pending.remove(answer.id());
      assertNotNull(request, "answer to a request that is not pending");
      boolean hasRun = fixture.spawns.containsKey(request.id);
      assertNotNull(answer.fields().get("Feedback"));
      outcomeCounts
          .get(requestClasses.get(request.id))[
          answer.status() == 200 ? 0 : answer.status() == 503 ? 1 : 2]++;
      switch (answer.status()) {
        case 200 -> assertArrayEquals(BrokerFixture.result(request.id), answer.content());
        case 503 -> assertTrue(!hasRun || !request.runsOnce, request.id + " ran and is rejected");
        default -> assertEquals(500, answer.status());
      }
    }
    for (SentRequest request : pending.values()) {
      assertTrue(
          fixture.now() <= request.dueAtMicros,
          () ->
              request.id
                  + " is overdue at "
                  + fixture.now()
                  + "\n"
                  + fixture.counters
                  + "\n"
                  + String.join("\n", fixture.lines));
    }
    fixture.spawns.forEach((id, times) -> assertEquals(1, times, id + " ran twice"));
    reconcile();
  }

  /**
   * Compares the broker's statistics with the requests of the gateway. An abandoned request may be
   * counted under any outcome or none.
   */
  private void reconcile() {
    Map<String, Object> statistics = fixture.broker.statistics();
    assertEquals((long) pending.size(), statistics.get("pending"));
    outcomeCounts.forEach(
        (requestClass, expected) -> {
          for (int outcome = 0; outcome < ABANDONED; outcome++) {
            long count = count(statistics, OUTCOMES.get(outcome), requestClass);
            assertTrue(
                count >= expected[outcome] && count <= expected[outcome] + expected[ABANDONED],
                OUTCOMES.get(outcome) + " " + statistics);
          }
          assertEquals(
              fixture.spawns.keySet().stream()
                  .filter(id -> requestClasses.get(id).equals(requestClass))
                  .count(),
              count(statistics, "upstream_requests", requestClass));
        });
  }

  private static long count(Map<String, Object> statistics, String name, String requestClass) {
    return (Long) ((Map<?, ?>) statistics.get(name)).get(requestClass);
  }

  /**
   * Advances the clock beyond every deadline, and checks that all requests are answered and that
   * the controller reported no fault.
   */
  public void checkAllAnswered() {
    advanceAndCheck(6_000_000);
    assertEquals(0, pending.size());
    assertEquals(0, fixture.broker.pendingCount());
    checkClosed();
    assertEquals(0, fixture.counters.get("controller-faults"));
  }

  /**
   * Closes the connection, and checks that it closed without a fault, released its buffers and
   * logged one line if it was open.
   */
  public void checkClosed() {
    fixture.lines.clear();
    boolean open = channel.isOpen();
    channel.close();
    assertEquals(0, fixture.counters.get("faults"));
    assertEquals(0, bufferedBytes(), "bytes of buffers that were never released");
    assertEquals(
        open ? 1 : 0,
        fixture.lines.stream().filter(line -> line.startsWith("connection-closed side=")).count());
  }

  /** Returns whether the connection is closed and the last log line states this reason. */
  public boolean isClosedWithReason(String reason) {
    return !channel.isOpen()
        && fixture.lines.get(fixture.lines.size() - 1).contains(" reason=" + reason + " ");
  }
}
