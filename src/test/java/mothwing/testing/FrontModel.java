package mothwing.testing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * The model that both fronts are checked against: what was read is owed one answer by its due time
 * unless its caller left; what must run once runs once and, once run, is not refused; what is
 * served is its own result.
 */
public final class FrontModel {
  private static final List<String> ENDS = List.of("completed", "rejected", "failed");
  private static final int LEFT = 3;
  private static final long DUE = 4_500_000 + 150_000;

  /** A request as its gateway knows it. */
  private static final class Known {
    final String id;
    final boolean order;
    final long dueAt;

    Known(String id, boolean order, long dueAt) {
      this.id = id;
      this.order = order;
      this.dueAt = dueAt;
    }
  }

  /** The server under test. */
  public final BrokerFixture fixture = new BrokerFixture().bound();

  /** What the gateway sends and reads on the connection under test. */
  public Gateway gateway;

  /** The connection under test. */
  public EmbeddedChannel channel;

  private final Function<BrokerFixture, Connection> maker;
  private final Supplier<Gateway> speaker;

  private final Map<Integer, Known> owed = new HashMap<>();
  private final Map<String, long[]> ends =
      Map.of(BrokerFixture.LOOK, new long[4], BrokerFixture.ORDER, new long[4]);
  private final Map<String, String> kinds = new HashMap<>();
  private int made;

  /** Makes a model with one open connection of a front. */
  public FrontModel(Function<BrokerFixture, Connection> maker, Supplier<Gateway> speaker) {
    this.maker = maker;
    this.speaker = speaker;
    open();
  }

  private void open() {
    gateway = speaker.get();
    channel = fixture.open(maker.apply(fixture));
  }

  /** Sends bytes of the gateway, and reads what comes back at once. */
  public void send(byte[] bytes) {
    fixture.send(channel, gateway, bytes);
  }

  /**
   * Sends a request on a place of the connection, unless one is open there: in two pieces, cut
   * anywhere.
   */
  public void sendRequest(int place, int step) {
    if (owed.containsKey(place)) {
      return;
    }
    boolean order = step % 3 == 0;
    int lateMs = step % 400;
    String id = BrokerFixture.id(++made);
    owed.put(place, new Known(id, order, fixture.now() - lateMs * 1000L + DUE));
    kinds.put(id, order ? BrokerFixture.ORDER : BrokerFixture.LOOK);
    byte[] all =
        gateway.request(
            place,
            order ? "/call/" + BrokerFixture.ORDER : "/call/" + BrokerFixture.LOOK,
            "",
            Gateway.fields(id, fixture.wallClockMillis() - lateMs),
            new byte[step % 2049]);
    int cut = step % all.length;
    send(Arrays.copyOf(all, cut));
    send(Arrays.copyOfRange(all, cut, all.length));
  }

  /** Whether a place of the connection is taken. */
  public boolean isPending(int place) {
    return owed.containsKey(place);
  }

  /** The gateway no longer waits for a request. */
  public void abandon(int place) {
    Known known = owed.remove(place);
    if (known != null) {
      ends.get(kinds.get(known.id))[LEFT]++;
    }
  }

  /** The gateway closes the connection, which is all its callers leaving, and opens another. */
  public void reopen() {
    List.copyOf(owed.keySet()).forEach(this::abandon);
    channel.close();
    open();
  }

  /** Ends some run, well or badly. */
  public void endRun(int number) {
    String id = fixture.someRun(number);
    if (id != null) {
      fixture.finish(id, number % 5 == 0 ? RunOutcome.FAILED : RunOutcome.SUCCEEDED);
    }
  }

  /**
   * Lets time pass, and checks all that the gateway has read by then, and that nothing is overdue.
   */
  public void advanceAndCheck(long span) {
    fixture.pass(span);
    fixture.read(channel, gateway);
    Answer answer;
    while ((answer = gateway.answers.poll()) != null) {
      Known known = owed.remove(answer.id());
      assertNotNull(known, "an answer that is not owed");
      boolean ran = fixture.spawns.containsKey(known.id);
      assertNotNull(answer.fields().get("Feedback"));
      ends.get(kinds.get(known.id))[answer.status() == 200 ? 0 : answer.status() == 503 ? 1 : 2]++;
      switch (answer.status()) {
        case 200 -> assertArrayEquals(BrokerFixture.result(known.id), answer.content());
        case 503 -> assertTrue(!ran || !known.order, known.id + " ran and is refused");
        default -> assertEquals(500, answer.status());
      }
    }
    for (Known known : owed.values()) {
      assertTrue(
          fixture.now() <= known.dueAt,
          () ->
              known.id
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
   * Holds the figures against the gateway's own list. What ended after it had left may stand
   * anywhere, or nowhere.
   */
  private void reconcile() {
    Map<String, Object> figures = fixture.broker.statistics();
    assertEquals((long) owed.size(), figures.get("pending"));
    ends.forEach(
        (kind, seen) -> {
          for (int end = 0; end < LEFT; end++) {
            long count = count(figures, ENDS.get(end), kind);
            assertTrue(
                count >= seen[end] && count <= seen[end] + seen[LEFT],
                ENDS.get(end) + " " + figures);
          }
          assertEquals(
              fixture.spawns.keySet().stream().filter(id -> kinds.get(id).equals(kind)).count(),
              count(figures, "upstream_requests", kind));
        });
  }

  private static long count(Map<String, Object> figures, String name, String kind) {
    return (Long) ((Map<?, ?>) figures.get(name)).get(kind);
  }

  /**
   * Waits until all must be answered, and checks that all is and that nothing went wrong inside.
   */
  public void checkAllAnswered() {
    advanceAndCheck(6_000_000);
    assertEquals(0, owed.size());
    assertEquals(0, fixture.broker.pendingCount());
    checkClosed();
    assertEquals(0, fixture.counters.get("controller-faults"));
  }

  /**
   * Closes the connection, and checks that it ended without a fault and with one line in the log.
   */
  public void checkClosed() {
    fixture.lines.clear();
    boolean open = channel.isOpen();
    channel.close();
    assertEquals(0, fixture.counters.get("faults"));
    assertEquals(
        open ? 1 : 0,
        fixture.lines.stream().filter(line -> line.startsWith("connection-closed side=")).count());
  }

  /** Whether the last line of the log is that of a connection which ended for a reason. */
  public boolean isClosedWithReason(String reason) {
    return !channel.isOpen()
        && fixture.lines.get(fixture.lines.size() - 1).contains(" reason=" + reason + " ");
  }
}
