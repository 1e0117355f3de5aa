package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.ajp.AjpConnection;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

/** Which connections a connection table closes of itself. */
class ConnectionTableTest {
  private static final long SECOND = 1_000_000;

  private BrokerFixture stand;
  private ConnectionTable table;

  @BeforeTry
  void anew() {
    stand = new BrokerFixture().bound();
    table = new ConnectionTable(2 * SECOND, stand);
  }

  private EmbeddedChannel open(Connection connection) {
    table.add(connection);
    EmbeddedChannel channel = stand.open(connection);
    channel.closeFuture().addListener(closed -> table.remove(connection));
    return channel;
  }

  private Connection fastCgi() {
    return new FastCgiConnection(stand.broker, stand.lines::add, stand.counters);
  }

  private Connection ajp() {
    return new AjpConnection(stand.broker, stand.lines::add, stand.counters);
  }

  private void pass(long span) {
    for (long left = span; left > 0; left -= SECOND / 10) {
      stand.pass(Math.min(left, SECOND / 10));
      table.closeExpired(30 * SECOND, CloseReason.IDLE);
    }
  }

  @Example
  void closesWhatIsIdleForTheSpanInForce() {
    EmbeddedChannel channel = open(fastCgi());
    byte[] ping = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
    stand.send(channel, new Gateway.FastCgi(), ping);
    pass(29 * SECOND);
    stand.send(channel, new Gateway.FastCgi(), ping);
    pass(29 * SECOND); // since it was last used
    assertTrue(channel.isOpen());
    pass(2 * SECOND);
    assertFalse(channel.isOpen());
    assertTrue(stand.lines.get(stand.lines.size() - 1).contains("reason=idle"));
  }

  /**
   * Guards against a process that wakes from a standstill and closes on what was sent to it
   * meanwhile.
   */
  @Example
  void whatWaitsInASocketAfterAStandstillIsReadFirst() {
    for (CloseReason why : new CloseReason[] {CloseReason.IDLE, CloseReason.DRAIN}) {
      EmbeddedChannel channel = open(fastCgi());
      byte[] ping = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
      stand.send(channel, new Gateway.FastCgi(), ping);
      table.closeExpired(20_000, why);
      stand.pass(3 * SECOND); // nobody looked: it stood still
      table.closeExpired(20_000, why);
      assertTrue(channel.isOpen(), "its socket may hold a request");
      stand.send(channel, new Gateway.FastCgi(), ping);
      assertTrue(channel.isOpen(), "and another one behind that");
      for (int i = 0; i < 3; i++) {
        stand.pass(20_000);
        table.closeExpired(20_000, why);
      }
      assertFalse(channel.isOpen(), "read, answered and quiet since");
    }
  }

  /**
   * Guards against a close in the middle of a request's first bytes, and before a new connection's
   * first request.
   */
  @Example
  void leavingClosesNeitherWhatHasBegunNorWhatHasJustCome() {
    EmbeddedChannel begun = open(fastCgi());
    byte[] ping = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
    stand.send(begun, new Gateway.FastCgi(), ping);
    stand.send(begun, new Gateway.FastCgi(), new byte[] {1, 1, 0});
    EmbeddedChannel idle = open(fastCgi());
    stand.send(idle, new Gateway.FastCgi(), ping);
    EmbeddedChannel newcomer = open(fastCgi());
    stand.pass(SECOND / 10);
    table.closeExpired(SECOND / 50, CloseReason.DRAIN);
    assertTrue(begun.isOpen() && newcomer.isOpen());
    assertFalse(idle.isOpen());
    for (int i = 0; i < 2; i++) {
      stand.pass(SECOND / 10);
      table.closeExpired(SECOND / 50, CloseReason.DRAIN);
    }
    assertFalse(newcomer.isOpen());
    table.closeExpired(0, CloseReason.DRAIN);
    assertTrue(begun.isOpen()); // it is ended as half sent, or by the process
  }

  /**
   * Guards against clients that say nothing, stop in a request or drip it: each would hold its
   * socket for ever.
   */
  @Example
  void closesWhatStaysSilentOrHalfSent() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      channels.add(open(i % 2 == 0 ? fastCgi() : ajp()));
    }
    byte[][] half = {
      Gateway.FastCgi.begin(1), Gateway.Ajp.forward("/call/x", "", Map.of(), 50), {1, 1, 0}, {0x12}
    };
    for (int i = 0; i < half.length; i++) {
      stand.send(channels.get(i), new Gateway.FastCgi(), half[i]);
    }
    stand.send(channels.get(4), new Gateway.FastCgi(), Gateway.FastCgi.record(99, 0, new byte[4]));
    for (int i = 0; i < 19; i++) {
      pass(SECOND / 10);
      stand.send(channels.get(0), new Gateway.FastCgi(), Gateway.FastCgi.record(4, 1, new byte[1]));
      channels.forEach(channel -> assertTrue(channel.isOpen()));
    }
    pass(SECOND / 5);
    channels.forEach(channel -> assertFalse(channel.isOpen()));
    assertEquals(4, stand.lines.stream().filter(line -> line.contains("reason=half-sent")).count());
    assertEquals(4, stand.lines.stream().filter(line -> line.contains("reason=silent")).count());
  }

  /**
   * Guards against gateways that are turned away, or lose what they asked, while others hold places
   * for nothing.
   */
  @Property(seed = "1764576008", tries = 200)
  void makesRoomAtTheCostOfWhomItHarmsLeast(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 4) Integer> kinds) {
    List<EmbeddedChannel> asked = new ArrayList<>();
    List<EmbeddedChannel> rest = new ArrayList<>();
    List<EmbeddedChannel> strangers = new ArrayList<>();
    for (int kind : kinds) {
      boolean ajp = kind % 2 == 0;
      EmbeddedChannel channel = open(ajp ? ajp() : fastCgi());
      Gateway gateway = ajp ? new Gateway.Ajp() : new Gateway.FastCgi();
      if (kind < 2) {
        strangers.add(channel);
      } else if (kind < 4) {
        stand.send(channel, gateway, gateway.request(1, "/ping", "", Map.of(), new byte[0]));
        rest.add(channel);
      } else {
        stand.send(
            channel,
            gateway,
            gateway.request(
                1,
                "/call/" + BrokerFixture.LOOK,
                "",
                Gateway.fields(BrokerFixture.id(asked.size() + 1), stand.wallClockMillis()),
                new byte[0]));
        asked.add(channel);
      }
      pass(SECOND / 100);
    }
    List<EmbeddedChannel> order = new ArrayList<>(strangers);
    order.addAll(rest);
    while (!order.isEmpty()) {
      table.evict();
      assertFalse(order.remove(0).isOpen());
      order.forEach(channel -> assertTrue(channel.isOpen()));
    }
    table.evict();
    asked.forEach(channel -> assertTrue(channel.isOpen()));
  }

  /**
   * Guards against a crowd that stops half way and costs the place of a request which is written
   * slowly.
   */
  @Example
  void whoIsWrittenSlowlyOutlivesWhoStopped() {
    EmbeddedChannel slow = open(fastCgi());
    byte[] all = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
    List<EmbeddedChannel> crowd = new ArrayList<>();
    for (int i = 0; i < all.length - 1; i++) {
      stand.pass(SECOND / 1000);
      EmbeddedChannel one = open(fastCgi());
      stand.send(one, new Gateway.FastCgi(), i % 2 == 0 ? new byte[0] : new byte[] {1, 1, 0});
      crowd.add(one);
      stand.send(slow, new Gateway.FastCgi(), new byte[] {all[i]});
      if (crowd.size() > 3) {
        table.evict();
        assertFalse(crowd.remove(0).isOpen());
      }
    }
    Gateway gateway = new Gateway.FastCgi();
    stand.send(slow, gateway, new byte[] {all[all.length - 1]});
    assertEquals(200, gateway.answers.remove().status());
  }

  /**
   * Guards against a wheel that forgets, fires early or twice: held against a plain map at random
   * steps.
   */
  @Property(seed = "1764576017", tries = 300)
  void theWheelFiresWhatAPlainMapWould(
      @ForAll @Size(max = 200) List<@IntRange(max = 9999) Integer> steps) {
    long tick = 10;
    TimingWheel wheel = new TimingWheel(8, tick, 0);
    List<TimingWheel.Entry> entries = new ArrayList<>();
    Map<TimingWheel.Entry, Long> model = new HashMap<>();
    for (int i = 0; i < 12; i++) {
      entries.add(new TimingWheel.Entry());
    }
    long now = 0;
    for (int step : steps) {
      TimingWheel.Entry one = entries.get(step % 12);
      switch (step / 12 % 4) {
        case 0, 1 -> {
          long due = now + step / 48 - 20;
          wheel.put(one, due);
          model.put(one, due);
        }
        case 2 -> {
          wheel.remove(one);
          model.remove(one);
        }
        default -> {
          now += step / 48 % 120;
          long at = now;
          List<TimingWheel.Entry> fired = new ArrayList<>();
          wheel.advance(now, fired::add);
          Set<TimingWheel.Entry> expected = new HashSet<>(model.keySet());
          expected.removeIf(entry -> model.get(entry) > at);
          assertEquals(expected, new HashSet<>(fired));
          assertEquals(expected.size(), fired.size());
          model.keySet().removeAll(expected);
        }
      }
      assertEquals(model.size(), wheel.size());
    }
  }

  /**
   * Guards against a client that takes no answers: what was sent to it would fill the memory for
   * ever.
   */
  @Example
  void cutsOffWhatDoesNotRead() {
    EmbeddedChannel channel = open(fastCgi());
    stand.send(
        channel,
        new Gateway.FastCgi(),
        new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]));
    channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(1, 2));
    channel
        .unsafe()
        .outboundBuffer()
        .addMessage(Unpooled.wrappedBuffer(new byte[9]), 9, channel.newPromise());
    assertFalse(channel.isWritable());
    pass(2 * SECOND);
    assertTrue(channel.isOpen());
    pass(SECOND);
    assertFalse(channel.isOpen());
    assertTrue(stand.lines.get(stand.lines.size() - 1).contains("reason=not-read"));
  }
}
