package mothwing.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import mothwing.control.RequestClass;
import mothwing.control.Settings;
import mothwing.control.Tenant;
import mothwing.testing.BlockingLog;
import mothwing.testing.Crossing;
import mothwing.testing.Loopback;
import mothwing.testing.SettingsVariants;
import mothwing.trial.Answer;
import mothwing.trial.BrokerFixture;
import mothwing.trial.Gateway;
import mothwing.trial.StandInPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Each row of docs/races.md that needs a whole server and real sockets: the crossing is forced, not
 * waited for.
 */
@Timeout(120)
class CrossingTest {
  private static final int STATUS_REFUSED = 503;
  private static final int STATUS_SERVED = 200;
  private static final int LOOKS = 20;

  private final BlockingLog log = new BlockingLog();
  private InetSocketAddress listen = Loopback.any();
  private StandInPool pool;
  private Server server;

  private Config config(Settings settings, int sockets) throws IOException {
    return new Config(
        "n1", listen, pool.address(), Loopback.NOBODY, null, null, 3200, sockets, settings, null);
  }

  private void make(long workMs, int sockets) throws IOException {
    pool = new StandInPool(workMs);
    server = new Server(config(BrokerFixture.settings(60, 2), sockets), null, log);
  }

  private void start(long workMs, int sockets) throws Exception {
    make(workMs, sockets);
    server.start();
    log.awaitLine("ready ");
    while (!server
        .counts()
        .contains(
            "pool-notice-gauges=")) { // until then an order's start is asked about, by a pause
      Thread.sleep(1);
    }
  }

  private Crossing connect() throws IOException {
    return new Crossing(server.clientAddresses().get(0));
  }

  /** A connection on which a check was answered and nothing is open. */
  private Crossing resting() throws IOException {
    Crossing one = connect();
    one.send(Crossing.ping(1));
    assertEquals(STATUS_SERVED, one.answer().status());
    return one;
  }

  /**
   * Holds the event loop where a line of this start is written, as a thread of its own does
   * something that leads there.
   */
  private void holdAt(String line, Runnable leadsThere) throws InterruptedException {
    log.hold(line);
    leadsThere.run();
    log.awaitHeld();
  }

  /** Holds the event loop at no particular step. */
  private void holdLoop() throws InterruptedException {
    holdAt("reload-failed", () -> server.reloadFailed("the test holds the loop"));
  }

  /** Sends bytes while the event loop is held, until they lie unread in the server's socket. */
  private static void sendUnread(Crossing gateway, byte[] bytes) throws IOException {
    gateway.send(bytes);
    gateway.awaitUnread(bytes.length);
  }

  /** Lets the server find bytes in its socket in one turn of the loop. */
  private void sendAtOnce(Crossing gateway, byte[] bytes) throws Exception {
    holdLoop();
    sendUnread(gateway, bytes);
    log.release();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    pool.close();
    assertTrue(
        log.lines().stream()
            .noneMatch(line -> line.startsWith("fault") || line.startsWith("controller-fault")),
        () -> String.join("\n", log.lines()));
  }

  /**
   * Guards against a close over unread bytes: it resets the connection, and the answers on their
   * way go with it.
   */
  @Test
  void nothingLiesUnreadBehindAnAnswerAsItsConnectionIsClosed() throws Exception {
    start(1, 256);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(Crossing.ping(1));
    all.writeBytes(new byte[] {9}); // no version of the protocol
    all.writeBytes(new byte[50_000]);
    try (Crossing one = connect()) {
      sendAtOnce(one, all.toByteArray());
      assertEquals(STATUS_SERVED, one.answer().status());
      assertTrue(one.endsInOrder(), "it was reset");
    }
    log.awaitLine("connection-closed side=fastcgi reason=malformed");
    assertTrue(
        log.lines().stream()
            .anyMatch(
                line ->
                    line.startsWith("connection-closed side=fastcgi reason=malformed")
                        && line.contains(" in=" + all.size() + " ")),
        "unread at the close: " + log.lines());
  }

  /**
   * Guards against who never closes, or never stops sending, behind a close of this side: it holds
   * no descriptor for long.
   */
  @Test
  void whoDoesNotCloseTooIsClosedAfterAWhileOrAfterSoManyBytes() throws Exception {
    start(1, 256);
    byte[] notTheProtocol = {9, 9, 9, 9, 9, 9, 9, 9};
    try (Crossing silent = connect();
        Crossing endless = connect()) {
      silent.send(notTheProtocol);
      assertTrue(silent.endsInOrder());
      endless.send(notTheProtocol);
      assertTrue(endless.endsInOrder());
      assertThrows(
          IOException.class,
          () -> {
            while (true) {
              endless.send(new byte[1024]);
            }
          });
      log.awaitLines("connection-closed side=fastcgi reason=malformed", 2);
    }
  }

  /**
   * Guards against a request that lies in the socket of a resting connection as the notice to leave
   * closes it.
   */
  @Test
  void aRequestThatLiesUnreadAsTheNoticeToLeaveComesIsAnswered() throws Exception {
    start(1, 256);
    try (Crossing whole = resting();
        Crossing half = resting()) {
      byte[] request = Crossing.request(2, BrokerFixture.ORDER, BrokerFixture.id(2));
      holdAt("shutdown-requested ", server::drain);
      sendUnread(whole, request);
      byte[] other = Crossing.request(2, BrokerFixture.ORDER, BrokerFixture.id(3));
      sendUnread(half, Arrays.copyOf(other, 30));
      log.release();
      assertNotNull(whole.answer(), "closed without an answer");
      assertTrue(whole.endsInOrder());
      half.send(Arrays.copyOfRange(other, 30, other.length));
      assertNotNull(half.answer(), "closed in the middle of a request");
      assertTrue(half.endsInOrder());
    }
    server.await();
    assertTrue(server.counts().contains(" pending=0 "), server.counts());
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }

  /**
   * Asks until the server reads no further, as its answers are not read; says how many were asked
   * for.
   */
  private int fill(Crossing one) throws IOException {
    int asked = 0;
    for (int looks = 0; looks < LOOKS; ) {
      ByteArrayOutputStream some = new ByteArrayOutputStream();
      for (int i = 1; i <= 30; i++) {
        some.writeBytes(Crossing.counts(i));
      }
      one.send(some.toByteArray());
      asked += 30;
      looks = 0;
      while (one.unread() > 0 && looks < LOOKS) { // each is a turn of the loop
        server.counts();
        looks++;
      }
    }
    return asked;
  }

  /**
   * Guards against a full socket buffer: nothing is read meanwhile, so a connection with requests
   * in its socket seems to rest.
   */
  @Test
  void aRequestThatLiesUnreadBehindAFullSocketBufferAsTheNoticeToLeaveComesIsAnswered()
      throws Exception {
    start(1, 256);
    try (Crossing one = new Crossing(server.clientAddresses().get(0), 4096)) {
      int asked = fill(one);
      holdAt("shutdown-requested ", server::drain);
      one.awaitUnread(1);
      log.release();
      for (int i = 0; i < asked; i++) {
        assertNotNull(one.answer(), "closed without answer " + i + " of " + asked);
      }
      assertTrue(one.endsInOrder());
    }
    server.await();
  }

  /**
   * Guards against a connection that waits to be accepted, its request written, as the notice
   * closes the listener.
   */
  @Test
  void whoWaitsToBeAcceptedAsTheNoticeComesIsAnswered() throws Exception {
    start(1, 256);
    InetSocketAddress at = server.clientAddresses().get(0);
    holdLoop();
    server.drain();
    try (Crossing one = new Crossing(at);
        Crossing silent = new Crossing(at)) {
      byte[] request = Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(1));
      sendUnread(one, request);
      log.release();
      assertNotNull(one.answer(), "closed without an answer");
      assertTrue(one.endsInOrder() && silent.endsInOrder());
    }
    server.await();
    assertTrue(server.counts().contains(" pending=0 "), server.counts());
  }

  /**
   * Guards against the same at the idle limit, which here falls to nothing in the very turn in
   * which the request comes.
   */
  @Test
  void aRequestThatLiesUnreadAsTheIdleLimitComesIsAnswered() throws Exception {
    start(1, 256);
    try (Crossing one = resting();
        Crossing other = resting()) {
      byte[] request = Crossing.request(2, BrokerFixture.LOOK, BrokerFixture.id(2));
      holdLoop();
      server.reload(config(SettingsVariants.idle(BrokerFixture.settings(60, 2), 1), 256));
      sendUnread(one, request);
      log.release();
      Answer answer = one.answer();
      assertNotNull(answer, "closed without an answer");
      assertEquals(STATUS_SERVED, answer.status());
      assertTrue(other.endsInOrder() && one.endsInOrder());
    }
  }

  /**
   * Guards against the same as a newcomer wants the place: here there is one place, and the
   * newcomer came first.
   */
  @Test
  void aRequestThatLiesUnreadAsItsConnectionIsToGiveWayIsAnswered() throws Exception {
    start(1, 33);
    try (Crossing one = resting()) {
      byte[] request = Crossing.request(2, BrokerFixture.LOOK, BrokerFixture.id(2));
      holdLoop();
      try (Crossing newcomer = connect()) {
        sendUnread(one, request);
        log.release();
        Answer answer = one.answer();
        assertNotNull(answer, "closed without an answer");
        assertEquals(STATUS_SERVED, answer.status());
        assertNull(newcomer.answer());
      }
    }
    try (Crossing next = resting();
        Crossing after = resting()) { // the first gives way to the second
      assertTrue(next.endsInOrder());
      after.send(Crossing.ping(2));
      assertEquals(STATUS_SERVED, after.answer().status());
    }
  }

  /**
   * Guards against a listener that is opened behind the way out: who connects there would be cut
   * off by the end.
   */
  @Test
  void theNoticeToLeaveDuringTheStartWaitsForWhatIsBeingBound() throws Exception {
    listen =
        new InetSocketAddress(
            "127.0.83.1", 0); // where no other test and no caller takes the port that was left
    make(1, 256);
    server.drain();
    server.start();
    InetSocketAddress had = server.clientAddresses().get(0);
    server.await();
    assertThrows(ConnectException.class, () -> new Crossing(had).close());
    assertTrue(log.lines().contains("shutdown-complete pending=0"), log.lines()::toString);
  }

  /**
   * Guards against a start that is on its way to the pool, or an end on its way back, as the notice
   * comes, twice.
   */
  @Test
  void whatIsOnItsWayToThePoolAsTheNoticeComesRunsOnceAndIsAnswered() throws Exception {
    start(-1, 256);
    try (Crossing one = connect();
        Crossing two = connect()) {
      one.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      pool.awaitSpawns(1);
      holdAt("shutdown-requested ", server::drain);
      pool.release(); // its end lies in the link's socket
      server.drain();
      two.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(2)));
      log.release();
      Answer served = one.answer();
      assertEquals(STATUS_SERVED, served.status());
      assertArrayEquals(new byte[] {3, 2, 1}, served.content());
      Answer late = two.answer();
      assertEquals(STATUS_REFUSED, late.status());
      assertTrue(one.endsInOrder() && two.endsInOrder());
    }
    server.await();
    assertEquals(1, pool.spawns().size());
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }

  /**
   * Guards against a reload during the way out that opens links again, or brings classes that
   * nobody may run any more.
   */
  @Test
  void newSettingsDuringTheWayOutChangeNothingForWhatIsOpen() throws Exception {
    start(-1, 256);
    try (Crossing one = connect()) {
      one.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      pool.awaitSpawns(1);
      holdAt("shutdown-requested ", server::drain);
      Settings had = BrokerFixture.settings(60, 2);
      RequestClass other =
          new RequestClass(
              "other", 1, 1_000, 1, 0, had.classes().get(0).idempotency(), 0, false, 0);
      server.reload(
          config(SettingsVariants.parts(had, List.of(other), List.of(new Tenant("two", 1))), 256));
      log.release();
      log.awaitLine("reload ");
      pool.release();
      assertEquals(STATUS_SERVED, one.answer().status());
    }
    server.await();
  }

  /**
   * Guards against one number of a connection that stands for two requests as an abort crosses the
   * answer.
   */
  @Test
  void aNumberUsedAgainRightBehindItsAbortIsAnsweredOnceForEach() throws Exception {
    start(-1, 256);
    try (Crossing one = connect()) {
      one.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      pool.awaitSpawns(1);
      holdLoop();
      pool.release(); // the answer of the first is ready in the same turn as its abort
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(Gateway.FastCgi.abort(1));
      all.writeBytes(Crossing.ping(1));
      one.send(all.toByteArray());
      one.awaitUnread(all.size());
      log.release();
      assertNotNull(one.answer()); // of the first: its result, or that it was aborted
      Answer second = one.answer();
      assertEquals(STATUS_SERVED, second.status());
      assertEquals(0, second.content().length);
    }
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }

  /** Guards against a caller's reset that crosses its answer, and costs others theirs. */
  @Test
  void aResetThatCrossesAnAnswerCostsNobodyElseAnything() throws Exception {
    start(-1, 256);
    try (Crossing other = connect()) {
      Crossing one = connect();
      one.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(1)));
      other.send(Crossing.request(1, BrokerFixture.ORDER, BrokerFixture.id(2)));
      pool.awaitSpawns(2);
      holdLoop();
      pool.release();
      one.reset();
      log.release();
      assertEquals(STATUS_SERVED, other.answer().status());
      while (!server.counts().contains("open=0 ")) {
        Thread.sleep(1); // the end of the other run may come a moment later
      }
    }
    pool.spawns().forEach((id, times) -> assertEquals(1, times, id));
  }
}
