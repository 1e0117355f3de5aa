package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import mothwing.broker.Counters;
import mothwing.broker.Scheduler;
import org.junit.jupiter.api.Test;

/** What one turn of the loop takes of what clients sent, where taking costs time. */
class ReadBudgetTest {
  private static final long COST = 500; // microseconds a piece
  private static final int IN_A_TURN = (int) (ReadBudget.TURN_MICROS / COST);

  private final Clock clock = new Clock();
  private final ReadBudget turns = new ReadBudget(clock);
  private final List<String> taken = new ArrayList<>();
  private final Counters counters = new Counters();

  /** A clock that moves as work is done. */
  private static final class Clock implements Scheduler {
    private final ArrayDeque<Runnable> due = new ArrayDeque<>();
    private long now;

    @Override
    public long now() {
      return now;
    }

    @Override
    public long wallClockMillis() {
      return now / 1000;
    }

    @Override
    public void schedule(long at, Runnable work) {
      due.add(work);
    }

    boolean turn() {
      Runnable work = due.poll();
      if (work != null) {
        now += 500;
        work.run();
      }
      return work != null;
    }
  }

  /** Takes a byte a piece. */
  private class Letters extends Connection {
    int number;

    Letters() {
      super("letters", 100, line -> {}, counters);
    }

    @Override
    protected boolean decode(ByteBuf in) {
      if (!in.isReadable()) {
        return false;
      }
      taken.add(String.valueOf((char) in.readByte()));
      clock.now += COST;
      return true;
    }

    @Override
    protected void onClosed() {
      taken.add("ended");
    }
  }

  private EmbeddedChannel sent(String letters) {
    Letters connection = new Letters();
    connection.limitReads(turns);
    EmbeddedChannel channel = new EmbeddedChannel(connection);
    channel.writeInbound(Unpooled.copiedBuffer(letters, StandardCharsets.US_ASCII));
    return channel;
  }

  /**
   * Guards against a turn that takes all there is while runs end unseen, and against what is then
   * forgotten.
   */
  @Test
  void allIsTakenATurnAtATimeInTheOrderInWhichItCame() {
    var first = sent("a".repeat(20));
    var second = sent("b".repeat(20));
    assertEquals(List.of("a"), taken.stream().distinct().toList());
    assertEquals(IN_A_TURN, taken.size());
    assertFalse(
        first.config().isAutoRead() || second.config().isAutoRead(),
        "nothing further is read meanwhile");
    int before = taken.size();
    while (clock.turn()) {
      assertTrue(taken.size() - before <= IN_A_TURN, "no more than a turn's share at once");
      before = taken.size();
    }
    assertEquals(
        "a".repeat(20) + "b".repeat(20), String.join("", taken.stream().sorted().toList()));
    assertTrue(first.config().isAutoRead() && second.config().isAutoRead());
  }

  /**
   * Guards against who gives way for a new connection being one that asked, and waits for this
   * process to read it.
   */
  @Test
  void whoWaitsForItsTurnDoesNotGiveWay() {
    ConnectionTable table = new ConnectionTable(1_000_000, clock);
    Letters busy = new Letters();
    Letters waits = new Letters();
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (Letters one : List.of(busy, waits)) {
      table.add(one);
      one.limitReads(turns);
      EmbeddedChannel channel = new EmbeddedChannel(one);
      channel.writeInbound(
          Unpooled.copiedBuffer("a".repeat(2 * IN_A_TURN), StandardCharsets.US_ASCII));
      channels.add(channel);
    }
    table.evict();
    channels.forEach(
        one -> assertTrue(one.isOpen(), "its bytes lie here, unread by our own doing"));
    while (clock.turn()) {
      // all turns come
    }
    assertEquals(4 * IN_A_TURN, taken.size());
  }

  /**
   * Guards against a close over bytes that no look has read yet, where many have asked and this
   * process is behind.
   */
  @Test
  void ofManyWhoAskedUnreadNobodyGivesWay() {
    ConnectionTable table = new ConnectionTable(1_000_000, clock);
    sent("a".repeat(2 * IN_A_TURN)); // this process is behind
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Letters one =
          new Letters() {
            @Override
            void readNow() {
              if (!isAwaitingBudget()) {
                channels
                    .get(number)
                    .writeInbound(Unpooled.copiedBuffer("b", StandardCharsets.US_ASCII));
              }
            }
          };
      one.number = i;
      one.limitReads(turns);
      table.add(one);
      channels.add(new EmbeddedChannel(one));
    }
    table.evict();
    channels.forEach(one -> assertTrue(one.isOpen(), "what it asked lay unread"));
  }

  @Test
  void aConnectionThatEndsAsItWaitsIsPassedOver() {
    sent("a".repeat(2 * IN_A_TURN));
    var second = sent("b");
    second.close();
    while (clock.turn()) {
      // until nothing is left to do
    }
    assertEquals(1, taken.stream().filter("ended"::equals).count());
    assertFalse(taken.contains("b"));
  }

  /** Guards against a share that is refused for a burst, and one that outlasts the trouble. */
  @Test
  void aShareIsRefusedWhereSomeAlwaysWaitAndNoneOnceNoneDoes() {
    sent("a".repeat(20));
    while (clock.turn()) {
      // until nothing is left to do
    }
    assertEquals(0, shed(100), "a burst");
    for (int i = 0; i < 300; i++) {
      sent("a".repeat(3 * IN_A_TURN));
      clock.turn();
    }
    assertTrue(shed(100) > 80, "each turn leaves something behind");
    while (clock.turn()) {
      // until nothing is left to do
    }
    for (int i = 0; i < 50; i++) {
      clock.now += 100_000;
      sent("a");
      clock.turn();
    }
    assertEquals(0, shed(100), "nothing has waited for 5 s");
  }

  private int shed(int of) {
    int many = 0;
    for (int i = 0; i < of; i++) {
      many += turns.isOverloaded() ? 1 : 0;
    }
    return many;
  }
}
