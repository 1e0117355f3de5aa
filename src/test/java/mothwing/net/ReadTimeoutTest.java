package mothwing.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothwing.ajp.AjpConnection;
import mothwing.control.RunOutcome;
import mothwing.fastcgi.FastCgiConnection;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;

/** A gateway's connection that falls quiet within a message while requests are open on it. */
class ReadTimeoutTest {
  private static final long SECOND = 1_000_000;
  private static final long PEER_TIMEOUT = 2 * SECOND;
  private static final int CUT_REQUEST = 9;

  private BrokerFixture fixture;
  private ConnectionTable table;
  private UnpooledByteBufAllocator allocator;
  private Gateway gateway;
  private EmbeddedChannel channel;
  private long idleLimit;
  private CloseReason idleReason;

  @BeforeTry
  void setUp() {
    fixture = new BrokerFixture().bound();
    table = new ConnectionTable(PEER_TIMEOUT, fixture);
    allocator = new UnpooledByteBufAllocator(false);
    idleLimit = 30 * SECOND;
    idleReason = CloseReason.IDLE;
    gateway = new Gateway.FastCgi();
    channel = open(new FastCgiConnection(fixture.broker, fixture.lines::add, fixture.counters));
  }

  private EmbeddedChannel open(Connection connection) {
    table.add(connection);
    EmbeddedChannel opened = fixture.open(connection);
    opened.config().setAllocator(allocator);
    opened.closeFuture().addListener(closed -> table.remove(connection));
    return opened;
  }

  private void send(byte[] bytes) {
    fixture.send(channel, gateway, bytes);
  }

  private void advance(long span) {
    for (long left = span; left > 0; left -= SECOND / 50) {
      fixture.pass(SECOND / 50);
      table.closeExpired(idleLimit, idleReason);
    }
    fixture.read(channel, gateway);
  }

  private byte[] request(int id, String requestClass) {
    return gateway.request(
        id,
        "/call/" + requestClass,
        "",
        Gateway.fields(BrokerFixture.id(id), fixture.wallClockMillis()),
        new byte[20]);
  }

  private void sendOrders(int count) {
    for (int id = 1; id <= count; id++) {
      send(request(id, BrokerFixture.ORDER));
    }
    advance(SECOND / 10);
    assertEquals(count, fixture.running.size(), "all orders run");
  }

  private void finishAndExpectResult(int id) {
    fixture.finish(BrokerFixture.id(id), RunOutcome.SUCCEEDED);
    fixture.pass(1);
    fixture.read(channel, gateway);
    Answer answer = takeAnswer(id);
    assertArrayEquals(BrokerFixture.result(BrokerFixture.id(id)), answer.content());
  }

  /** Takes the answer to a request, which must be the only one. */
  private Answer takeAnswer(int id) {
    List<Answer> answers = gateway.answers.stream().filter(answer -> answer.id() == id).toList();
    assertEquals(1, answers.size(), () -> "answers to request " + id);
    gateway.answers.removeAll(answers);
    return answers.get(0);
  }

  /**
   * Guards against a connection that is closed at the read timeout of one request while others on
   * it are complete: these had no answer, and their runs were stopped.
   */
  @Property(seed = "1764576201", tries = 300)
  void answersCompleteRequestsBesideOneThatIsCutAnywhere(
      @ForAll @IntRange(min = 1, max = 400) int cutAt, @ForAll boolean resumes) {
    sendOrders(3);
    byte[] cut = request(CUT_REQUEST, BrokerFixture.LOOK);
    int sent = Math.min(cutAt, cut.length - 1);
    send(Arrays.copyOf(cut, sent));
    advance(PEER_TIMEOUT + SECOND / 10);
    assertEquals(3, fixture.running.size(), "a run was stopped");
    boolean isBegun = sent >= Gateway.FastCgi.begin(CUT_REQUEST).length;
    if (isBegun) {
      assertEquals(408, takeAnswer(CUT_REQUEST).status());
      assertTrue(allocator.metric().usedHeapMemory() < 8, "the cut request is still buffered");
    }
    if (resumes) {
      send(Arrays.copyOfRange(cut, sent, cut.length));
    }
    for (int id = 1; id <= 3; id++) {
      finishAndExpectResult(id);
    }
    assertTrue(channel.isOpen());
    if (resumes && !isBegun) { // it was read completely before the connection could be closed
      advance(3 * SECOND);
      takeAnswer(CUT_REQUEST);
    } else if (resumes) {
      send(gateway.request(CUT_REQUEST, "/ping", "", Map.of(), new byte[0]));
      assertEquals(200, takeAnswer(CUT_REQUEST).status());
    }
    advance(31 * SECOND);
    assertFalse(channel.isOpen(), "holds a descriptor for good");
    assertEquals(0, gateway.answers.size());
    assertEquals(0, allocator.metric().usedHeapMemory());
  }

  /** Guards against an incomplete message that is kept for longer than the requests beside it. */
  @Example
  void closesConnectionAfterLastAnswerIfItsNextMessageIsStillIncomplete() {
    byte[] query = Gateway.FastCgi.record(9, 0, new byte[8000]);
    for (int sent : new int[] {1, 7, 12, query.length - 1}) {
      setUp();
      sendOrders(1);
      send(Arrays.copyOf(query, sent));
      advance(2 * PEER_TIMEOUT);
      assertTrue(channel.isOpen());
      finishAndExpectResult(1);
      advance(SECOND / 25);
      assertFalse(channel.isOpen());
      assertTrue(fixture.lines.get(fixture.lines.size() - 1).contains("reason=half-sent"));
      assertEquals(0, allocator.metric().usedHeapMemory());
    }
  }

  /**
   * Guards against a client that keeps a request open so that others, sent byte by byte, are held
   * without end.
   */
  @Example
  void failsEachRequestThatIsSentByteByByteAtItsOwnTimeout() {
    sendOrders(1);
    send(Gateway.FastCgi.begin(CUT_REQUEST));
    for (int i = 0; i < 19; i++) {
      send(Gateway.FastCgi.record(4, CUT_REQUEST, new byte[1]));
      advance(SECOND / 10);
    }
    send(Gateway.FastCgi.begin(CUT_REQUEST + 1));
    assertEquals(0, gateway.answers.size());
    advance(SECOND / 5);
    assertEquals(408, takeAnswer(CUT_REQUEST).status());
    advance(PEER_TIMEOUT - SECOND / 2);
    assertEquals(0, gateway.answers.size());
    advance(SECOND / 2);
    assertEquals(408, takeAnswer(CUT_REQUEST + 1).status());
    assertEquals(2, fixture.counters.get("fastcgi-rejected-half-sent"));
    finishAndExpectResult(1);
  }

  /** Guards against a shutdown that loses, or waits for, requests beside a cut one. */
  @Example
  void closesConnectionInAShutdownOnceCompleteRequestsAreAnswered() {
    for (int sent : new int[] {3, 40}) {
      setUp();
      sendOrders(2);
      send(Arrays.copyOf(request(CUT_REQUEST, BrokerFixture.LOOK), sent));
      fixture.broker.drain(fixture.now(), fixture.now() + 5 * SECOND, false);
      idleLimit = SECOND / 50;
      idleReason = CloseReason.DRAIN;
      advance(PEER_TIMEOUT + SECOND / 10);
      assertEquals(2, fixture.running.size(), "a run was stopped");
      gateway.answers.removeIf(answer -> answer.id() == CUT_REQUEST);
      finishAndExpectResult(1);
      finishAndExpectResult(2);
      advance(SECOND / 10);
      assertFalse(channel.isOpen());
      assertEquals(0, table.descriptorCount());
    }
  }

  /** Guards against cut requests that keep their connections from being evicted by idle clients. */
  @Example
  void evictsConnectionWithACutRequestOnceItsOthersAreAnswered() {
    sendOrders(1);
    send(Arrays.copyOf(request(CUT_REQUEST, BrokerFixture.LOOK), 40));
    advance(PEER_TIMEOUT + SECOND / 10);
    table.evict();
    assertTrue(channel.isOpen(), "evicted with a request open");
    gateway.answers.clear();
    finishAndExpectResult(1);
    table.evict();
    assertFalse(channel.isOpen());
  }

  /**
   * Guards against a request that fails because this process does not read: its remainder lies in
   * the socket while the gateway reads its answers slowly.
   */
  @Example
  void countsNoTimeWhileUnreadAnswersHoldUpItsOwnReads() {
    sendOrders(1);
    byte[] slow = request(CUT_REQUEST, BrokerFixture.ORDER);
    send(Arrays.copyOf(slow, 40));
    advance(PEER_TIMEOUT - SECOND / 2);
    channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(1, 2));
    channel
        .unsafe()
        .outboundBuffer()
        .addMessage(Unpooled.wrappedBuffer(new byte[8]), 8, channel.newPromise());
    assertFalse(channel.config().isAutoRead());
    for (int i = 0; i < 50; i++) { // a second; the channel is not flushed meanwhile
      fixture.pass(SECOND / 50);
      table.closeExpired(idleLimit, idleReason);
    }
    assertEquals(0, fixture.counters.get("fastcgi-rejected-half-sent"));
    channel.flush();
    assertTrue(channel.config().isAutoRead());
    channel.writeInbound(Unpooled.copiedBuffer(slow, 40, slow.length - 40));
    assertEquals(2, fixture.counters.get("fastcgi-requests"));
    channel.releaseOutbound();
  }

  /** A connection with messages of one byte 'x' behind any others; its socket has one to read. */
  private final class UnreadConnection extends Connection {
    private boolean unread = true;

    UnreadConnection() {
      super("test", 100, fixture.lines::add, fixture.counters);
    }

    @Override
    protected boolean decode(ByteBuf in) {
      int end = in.bytesBefore((byte) 'x');
      if (end < 0) {
        return false;
      }
      in.skipBytes(end + 1);
      markIdentified();
      return true;
    }

    @Override
    void readNow() {
      if (unread) {
        unread = false;
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {'x'}));
      }
    }

    @Override
    protected void onClosed() {
      // there is no state to release
    }
  }

  /** Guards against a timeout of a message that has arrived and was not read yet. */
  @Example
  void readsTheSocketBeforeATimeout() {
    for (byte[] beginning : new byte[][] {{}, {'a'}}) {
      channel = open(new UnreadConnection());
      channel.writeInbound(Unpooled.wrappedBuffer(beginning));
      advance(PEER_TIMEOUT + SECOND / 10);
      assertTrue(channel.isOpen());
    }
  }

  /** Guards against the same loss on AJP, where the next packet may be cut. */
  @Example
  void answersAjpRequestBeforeItClosesOverACutPacket() {
    gateway = new Gateway.Ajp();
    channel = open(new AjpConnection(fixture.broker, fixture.lines::add, fixture.counters));
    send(request(1, BrokerFixture.ORDER));
    send(Arrays.copyOf(Gateway.Ajp.cping(), 3));
    advance(PEER_TIMEOUT + SECOND / 10);
    assertEquals(Set.of(BrokerFixture.id(1)), fixture.running.keySet(), "the run was stopped");
    fixture.finish(BrokerFixture.id(1), RunOutcome.SUCCEEDED);
    advance(SECOND / 25);
    assertEquals(List.of(200), gateway.answers.stream().map(Answer::status).toList());
    assertFalse(channel.isOpen());
  }
}
