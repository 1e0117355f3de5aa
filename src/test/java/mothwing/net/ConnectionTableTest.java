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

/** Expiry and eviction of connections, and the timing wheel behind it. */
class ConnectionTableTest {
  private static final long SECOND = 1_000_000;

  private BrokerFixture fixture;
  private ConnectionTable table;

  @BeforeTry
  void setUp() {
    fixture = new BrokerFixture().bound();
    table = new ConnectionTable(2 * SECOND, fixture);
  }

  private EmbeddedChannel open(Connection connection) {
    table.add(connection);
    EmbeddedChannel channel = fixture.open(connection);
    channel.closeFuture().addListener(closed -> table.remove(connection));
    return channel;
  }

  private Connection fastCgi() {
    return new FastCgiConnection(fixture.broker, fixture.lines::add, fixture.counters);
  }

  private Connection ajp() {
    return new AjpConnection(fixture.broker, fixture.lines::add, fixture.counters);
  }

  private void advance(long span) {
    for (long left = span; left > 0; left -= SECOND / 10) {
      fixture.pass(Math.min(left, SECOND / 10));
      table.closeExpired(30 * SECOND, CloseReason.IDLE);
    }
  }

  @Example
  void closesConnectionIdleForLongerThanTheLimit() {
    EmbeddedChannel channel = open(fastCgi());
    byte[] ping = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
    fixture.send(channel, new Gateway.FastCgi(), ping);
    advance(29 * SECOND);
    fixture.send(channel, new Gateway.FastCgi(), ping);
    advance(29 * SECOND); // the limit counts from the last request
    assertTrue(channel.isOpen());
    advance(2 * SECOND);
    assertFalse(channel.isOpen());
    assertTrue(fixture.lines.get(fixture.lines.size() - 1).contains("reason=idle"));
  }

  /**
   * Guards against a process that resumes after a stall and closes connections whose sockets hold
   * requests that were sent meanwhile.
   */
  @Example
  void readsSocketsBeforeClosingIdleConnectionsAfterAStall() {
    for (CloseReason reason : new CloseReason[] {CloseReason.IDLE, CloseReason.DRAIN}) {
      EmbeddedChannel channel = open(fastCgi());
      byte[] ping = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
      fixture.send(channel, new Gateway.FastCgi(), ping);
      table.closeExpired(20_000, reason);
      fixture.pass(3 * SECOND); // a stall: closeExpired is not called in this time
      table.closeExpired(20_000, reason);
      assertTrue(
          channel.isOpen(), "closed right after the stall, although its socket may hold a request");
      fixture.send(channel, new Gateway.FastCgi(), ping);
      assertTrue(
          channel.isOpen(), "closed after an answer, although its socket may hold another request");
      for (int i = 0; i < 3; i++) {
        fixture.pass(20_000);
        table.closeExpired(20_000, reason);
      }
      assertFalse(
          channel.isOpen(), "open, although all requests were answered and it was idle since");
    }
  }

  /**
   * Guards against a shutdown that closes a connection in the middle of a request, or a new
   * connection before its first request has arrived.
   */
  @Example
  void keepsIncompleteRequestsAndNewConnectionsDuringShutdown() {
    EmbeddedChannel incomplete = open(fastCgi());
    byte[] ping = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
    fixture.send(incomplete, new Gateway.FastCgi(), ping);
    fixture.send(incomplete, new Gateway.FastCgi(), new byte[] {1, 1, 0});
    EmbeddedChannel idle = open(fastCgi());
    fixture.send(idle, new Gateway.FastCgi(), ping);
    EmbeddedChannel newConnection = open(fastCgi());
    fixture.pass(SECOND / 10);
    table.closeExpired(SECOND / 50, CloseReason.DRAIN);
    assertTrue(incomplete.isOpen() && newConnection.isOpen());
    assertFalse(idle.isOpen());
    for (int i = 0; i < 2; i++) {
      fixture.pass(SECOND / 10);
      table.closeExpired(SECOND / 50, CloseReason.DRAIN);
    }
    assertFalse(newConnection.isOpen());
    table.closeExpired(0, CloseReason.DRAIN);
    assertTrue(incomplete.isOpen()); // ends at its read timeout, or with the process
  }

  /**
   * Guards against clients that send nothing, stop in the middle of a request or send it byte by
   * byte: each would hold its socket forever.
   */
  @Example
  void closesSilentConnectionsAndIncompleteRequestsAfterTheTimeout() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      channels.add(open(i % 2 == 0 ? fastCgi() : ajp()));
    }
    byte[][] incompleteRequests = {
      Gateway.FastCgi.begin(1), Gateway.Ajp.forward("/call/x", "", Map.of(), 50), {1, 1, 0}, {0x12}
    };
    for (int i = 0; i < incompleteRequests.length; i++) {
      fixture.send(channels.get(i), new Gateway.FastCgi(), incompleteRequests[i]);
    }
    fixture.send(
        channels.get(4), new Gateway.FastCgi(), Gateway.FastCgi.record(99, 0, new byte[4]));
    for (int i = 0; i < 19; i++) {
      advance(SECOND / 10);
      fixture.send(
          channels.get(0), new Gateway.FastCgi(), Gateway.FastCgi.record(4, 1, new byte[1]));
      channels.forEach(channel -> assertTrue(channel.isOpen()));
    }
    advance(SECOND / 5);
    channels.forEach(channel -> assertFalse(channel.isOpen()));
    assertEquals(
        4, fixture.lines.stream().filter(line -> line.contains("reason=half-sent")).count());
    assertEquals(4, fixture.lines.stream().filter(line -> line.contains("reason=silent")).count());
  }

  /**
   * Guards against gateways that are rejected at the connection limit, or lose their open requests,
   * while other clients hold connections without a request.
   */
  @Property(seed = "1764576008", tries = 200)
  void evictsUnidentifiedConnectionsThenIdleOnes(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 4) Integer> kinds) {
    List<EmbeddedChannel> withRequest = new ArrayList<>();
    List<EmbeddedChannel> idle = new ArrayList<>();
    List<EmbeddedChannel> unidentified = new ArrayList<>();
    for (int kind : kinds) {
      boolean ajp = kind % 2 == 0;
      EmbeddedChannel channel = open(ajp ? ajp() : fastCgi());
      Gateway gateway = ajp ? new Gateway.Ajp() : new Gateway.FastCgi();
      if (kind < 2) {
        unidentified.add(channel);
      } else if (kind < 4) {
        fixture.send(channel, gateway, gateway.request(1, "/ping", "", Map.of(), new byte[0]));
        idle.add(channel);
      } else {
        fixture.send(
            channel,
            gateway,
            gateway.request(
                1,
                "/call/" + BrokerFixture.LOOK,
                "",
                Gateway.fields(BrokerFixture.id(withRequest.size() + 1), fixture.wallClockMillis()),
                new byte[0]));
        withRequest.add(channel);
      }
      advance(SECOND / 100);
    }
    List<EmbeddedChannel> evictionOrder = new ArrayList<>(unidentified);
    evictionOrder.addAll(idle);
    while (!evictionOrder.isEmpty()) {
      table.evict();
      assertFalse(evictionOrder.remove(0).isOpen());
      evictionOrder.forEach(channel -> assertTrue(channel.isOpen()));
    }
    table.evict();
    withRequest.forEach(channel -> assertTrue(channel.isOpen()));
  }

  /**
   * Guards against many clients that stop in the middle of a request and cause the eviction of one
   * that writes its request slowly.
   */
  @Example
  void evictsStoppedClientsBeforeASlowWriter() {
    EmbeddedChannel slow = open(fastCgi());
    byte[] bytes = new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]);
    List<EmbeddedChannel> stoppedClients = new ArrayList<>();
    for (int i = 0; i < bytes.length - 1; i++) {
      fixture.pass(SECOND / 1000);
      EmbeddedChannel client = open(fastCgi());
      fixture.send(client, new Gateway.FastCgi(), i % 2 == 0 ? new byte[0] : new byte[] {1, 1, 0});
      stoppedClients.add(client);
      fixture.send(slow, new Gateway.FastCgi(), new byte[] {bytes[i]});
      if (stoppedClients.size() > 3) {
        table.evict();
        assertFalse(stoppedClients.remove(0).isOpen());
      }
    }
    Gateway gateway = new Gateway.FastCgi();
    fixture.send(slow, gateway, new byte[] {bytes[bytes.length - 1]});
    assertEquals(200, gateway.answers.remove().status());
  }

  /**
   * Guards against a timing wheel that loses entries, or fires them early or twice, by comparing it
   * with a map over random steps.
   */
  @Property(seed = "1764576017", tries = 300)
  void timingWheelFiresTheSameEntriesAsAMap(
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
      TimingWheel.Entry entry = entries.get(step % 12);
      switch (step / 12 % 4) {
        case 0, 1 -> {
          long due = now + step / 48 - 20;
          wheel.put(entry, due);
          model.put(entry, due);
        }
        case 2 -> {
          wheel.remove(entry);
          model.remove(entry);
        }
        default -> {
          now += step / 48 % 120;
          long at = now;
          List<TimingWheel.Entry> fired = new ArrayList<>();
          wheel.advance(now, fired::add);
          Set<TimingWheel.Entry> expected = new HashSet<>(model.keySet());
          expected.removeIf(candidate -> model.get(candidate) > at);
          assertEquals(expected, new HashSet<>(fired));
          assertEquals(expected.size(), fired.size());
          model.keySet().removeAll(expected);
        }
      }
      assertEquals(model.size(), wheel.size());
    }
  }

  /**
   * Guards against a client that reads no answers: the output for it would occupy memory forever.
   */
  @Example
  void closesConnectionThatDoesNotRead() {
    EmbeddedChannel channel = open(fastCgi());
    fixture.send(
        channel,
        new Gateway.FastCgi(),
        new Gateway.FastCgi().request(1, "/ping", "", Map.of(), new byte[0]));
    channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(1, 2));
    channel
        .unsafe()
        .outboundBuffer()
        .addMessage(Unpooled.wrappedBuffer(new byte[9]), 9, channel.newPromise());
    assertFalse(channel.isWritable());
    advance(2 * SECOND);
    assertTrue(channel.isOpen());
    advance(SECOND);
    assertFalse(channel.isOpen());
    assertTrue(fixture.lines.get(fixture.lines.size() - 1).contains("reason=not-read"));
  }
}
